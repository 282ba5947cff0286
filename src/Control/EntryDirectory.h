#pragma once

#include "Base/EntrySettings.h"
#include "Base/Random.h"
#include "Control/FleetView.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Chooses the router addresses that are given to callers.
///
/// Handles callers that query one router and keep the answer for seconds, some of them three times
/// as long. Prevents that callers lose time on refusals of a router that stops or that
/// cannot prove that its configuration is current. Callers pick any address of an answer, so a VM
/// with an eighth of a core would receive as many callers as one with half a core. Therefore each
/// router is included with a probability equal to the ratio of its processor share to the largest
/// one. The answer is a hint: a router that is not included still serves.
class EntryDirectory
{
public:
    struct Options
    {
        const EntrySettings &settings;
        const FleetView &fleet;
        std::function<bool()> isReady; ///< Whether this router serves, regardless of isLeaving.
        std::function<bool()> isLeaving;
        RandomSource random;
    };

    explicit EntryDirectory(Options options) : m_options(std::move(options)) { }

    /// \returns caller addresses of a sample of the routers that serve. If no router is known to
    /// serve, the sample is taken from those that run: some requests need no freshness proof, and a
    /// refusal states when to retry the others. Empty if this router leaves and knows no other.
    /// \param most maximum number of addresses.
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
