#pragma once

#include "Control/EngineClient.h"
#include "Control/EngineTracker.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Reads load and cache events of the engines that this router owns, one engine after the
/// other.
///
/// Load: 11 engines a router at full size, one or two at the size of today.
/// Harm prevented: readings that grow with the engines and eat the budget for control traffic.
/// Reason for the limit: reading one engine is two calls of about 450 bytes with headers, so one
/// engine a second is 900 of the 3,000 bytes; each of 11 is read every 11 s, which the hints' ages
/// say, and a small fleet's every second or two.
class EnginePoller
{
public:
    struct Engine
    {
        std::string name;
        std::string address; ///< `ip:port`.
    };

    struct Options
    {
        const Clock &clock;
        EngineClient &engines;
        EngineTracker &tracker;
        double enginesPerSecond = 1;
        /// Whether there is room for control traffic that can wait.
        std::function<bool()> mayDefer = [] { return true; };
    };

    explicit EnginePoller(Options options);

    void setEngines(std::vector<Engine> engines);
    void poll();

    /// \returns when poll() has to run next.
    TimePoint nextDeadline() const;

private:
    void read(const Engine &engine);

    Options m_options;
    std::vector<Engine> m_engines;
    std::size_t m_position = 0;
    TimePoint m_next;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft
