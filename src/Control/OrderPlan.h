#pragma once

#include "Base/Inventory.h"
#include "Control/EngineClient.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Number of order groups. It must never change, because the row of a group contains the
/// fencing number of its engines: an engine that moved to another group could get orders with a
/// lower number.
///
/// Handles 10,000 engines and 890 routers. The number is 256 because a group of 39 engines can then
/// be read every 40 s within a router's budget, and 256 renewals every 15 s are 17 writes/s, 6% of
/// 300. Only groups with engines have a lease: nine engines need at most nine leases.
constexpr std::size_t OrderGroupCount = 256;

/// \returns the order group of the engine named \a name.
std::size_t orderGroupOf(std::string_view name);

/// \returns the key of the row with the lease of \a group.
std::string orderLeaseKey(std::size_t group);

/// \brief The next step towards the state that the inventory requires of an engine.
struct OrderStep
{
    EngineOrder order; ///< Without fence and id.
    std::string cause; ///< The difference, for the log.
    bool needsWeights = false; ///< The engine will load from the weight store.
    std::uint64_t revision = 0; ///< Revision of the inventory from which it was computed.
    bool withheld = false; ///< Required but not safe to send; the cause contains the reason.
};

/// \brief Compares the target state \a wanted with the reported \a state.
///
/// Prevents harm from an engine that ignores fencing numbers and therefore executes orders of a
/// holder that was paused past the expiry of its lease. Such an engine only gets orders that are
/// safe when delayed or repeated: additions (weights, adapters), its role, which routers take from
/// the inventory and not from the engine, and a change of version only while the inventory assigns
/// it no requests. \param loadedVersion version whose weights this holder has already made it load.
/// \returns nothing if the states agree.
std::optional<OrderStep> nextOrderStep(const Engine &wanted, const EngineState &state,
                                       std::string_view loadedVersion);

} // namespace catkinloft
