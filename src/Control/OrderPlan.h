#pragma once

#include "Base/Inventory.h"
#include "Control/EngineClient.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Order groups; never changed, since a group's row carries the fencing number of its
/// engines: an engine that moved to another group could meet a lower number.
///
/// Load: 10,000 engines before 890 routers. Reason for the number: 39 engines a group can be read
/// back every 40 s within a router's budget, and 256 renewals every 15 s are 17 writes/s, 6% of
/// 300. Only groups with engines have a lease: nine engines need at most nine.
constexpr std::size_t OrderGroupCount = 256;

/// \returns the order group of the engine named \a name.
std::size_t orderGroupOf(std::string_view name);

/// \returns the row of the lease of \a group.
std::string orderLeaseKey(std::size_t group);

/// \brief The next step that brings an engine to what the inventory wants of it.
struct OrderStep
{
    EngineOrder order; ///< Without fence and id.
    std::string cause; ///< What differs, for the log.
    bool needsWeights = false; ///< The engine will ask the weight store.
    std::uint64_t revision = 0; ///< Of the inventory that it was worked out from.
    bool withheld = false; ///< May not be given, though wanted; the cause says why.
};

/// \brief Compares what \a wanted says with what the engine reported.
///
/// Harm prevented: an engine that ignores fencing numbers obeys a holder that was paused past its
/// lease. It only gets orders that do no harm when late or repeated: those that add (weights,
/// adapters), those on its role, which routers take from the inventory and not from the engine, and
/// a change of version only while the inventory gives it no requests.
/// \param loadedVersion version whose weights this holder had it load already.
/// \returns nothing where they agree.
std::optional<OrderStep> nextOrderStep(const Engine &wanted, const EngineState &state,
                                       std::string_view loadedVersion);

} // namespace catkinloft
