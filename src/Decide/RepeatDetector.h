#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinloft {

/// \brief Recognises requests whose caller has tried before, by the time that it still waits.
///
/// Handles callers that return after a refusal while a service is overloaded. Most of them can't be
/// answered on time any more; without a distinction they take the capacity of callers that still
/// can.
///
/// Callers of a route state similar timeouts with their first attempts, and what is left of them
/// with the next ones. The range of the first attempts is learned for each route while its service
/// is not overloaded, when repeats are rare. A request with clearly less time counts as repeated.
/// Where timeouts differ by more than half, or none have been learned, nothing counts as repeated.
class RepeatDetector
{
public:
    struct Options
    {
        std::size_t maxRoutes = 1024; ///< Limits memory; further routes are not judged.
    };

    RepeatDetector() : RepeatDetector(Options()) { }
    explicit RepeatDetector(Options options) : m_options(options) { }

    /// \brief Records a request to \a route whose caller waits for \a timeout.
    /// \param overloaded whether the service is or was just overloaded; then nothing is learned.
    /// \returns whether the caller has tried before.
    bool isRepeat(std::string_view route, Duration timeout, bool overloaded);

private:
    struct Range
    {
        std::vector<Duration> recent; ///< The last timeouts, in a ring.
        std::size_t next = 0;
        Duration shortest = Duration::zero(); ///< Of a first attempt; zero: not known.
    };

    static void learn(Range &it, Duration timeout);

    Options m_options;
    std::unordered_map<std::string, Range> m_ranges; ///< By route.
};

} // namespace catkinloft
