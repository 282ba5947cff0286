#pragma once

#include "Base/EntrySettings.h"
#include "Base/Random.h"
#include "Control/FleetView.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Which addresses callers are told to use.
///
/// Load: callers that ask one router and keep the answer for seconds, some three times as long.
/// Harm prevented: callers that are sent to a router that stops, or that can't prove its
/// configuration, lose their time on refusals; callers pick any address of an answer, so that a VM
/// of an eighth of a core would get as many as one of half a core. So an answer names each router
/// with the chance that its share of the processor is of the largest. The answer is a hint: a
/// router that is not named still serves.
class EntryDirectory
{
public:
    struct Options
    {
        const EntrySettings &settings;
        const FleetView &fleet;
        std::function<bool()> isReady; ///< Whether this router serves, stopping aside.
        std::function<bool()> isLeaving;
        RandomSource random;
    };

    explicit EntryDirectory(Options options) : m_options(std::move(options)) { }

    /// \returns caller addresses of all routers that serve. Where none is known to, of those that
    /// run: some requests need no proof, and a refusal tells the others when to come back. Empty
    /// where this router stops and knows no other.
    /// \param most how many addresses an answer may hold.
    std::vector<std::string> addresses(std::size_t most) const;

    Duration lifetime() const { return m_options.settings.addressLifetime; }

private:
    struct Entry
    {
        std::string address;
        double processorShare = 1;
    };

    std::vector<std::string> sample(std::vector<Entry> all, std::size_t most) const;

    Options m_options;
};

} // namespace catkinloft
