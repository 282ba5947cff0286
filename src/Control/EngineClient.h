#pragma once

#include "Base/Error.h"
#include "Control/EngineTracker.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief State reported by an engine.
struct EngineState
{
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role;
    std::uint64_t fence = 0; ///< Highest fencing number received; 0 if the engine ignores them.
};

enum class OrderKind { LoadModel, LoadAdapter, SetVersion, SetRole };

/// \returns the name on the wire, such as `load_model`.
std::string_view toString(OrderKind kind);

/// \brief An order to an engine. Its arguments are the target state and never a relative change, so
/// that orders are idempotent.
struct EngineOrder
{
    OrderKind kind = OrderKind::LoadModel;
    std::string model = {}; ///< For LoadModel.
    std::string version = {}; ///< For LoadModel and SetVersion.
    std::string adapter = {}; ///< For LoadAdapter.
    std::string role = {}; ///< For SetRole.
    std::uint64_t fence = 0;
    std::string id = {}; ///< Unique per attempt; correlates the logs of router and engine.

    bool operator==(const EngineOrder &) const = default;
};

/// \brief An engine's answer to an order: applied or refused.
struct OrderAnswer
{
    bool applied = false;
    std::uint64_t fence = 0; ///< If refused, the highest fencing number that the engine received.
};

/// \brief Client of the engines and their weight store; asynchronous like TableService.
class EngineClient
{
public:
    template<typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~EngineClient() = default;

    /// \param address `ip:port` of the engine.
    virtual void readLoad(std::string address, Callback<EngineLoad> done) = 0;

    /// \param after CacheFeed::next of the last answer; 0: from the start.
    virtual void readCacheEvents(std::string address, std::uint64_t after,
                                 Callback<CacheFeed> done) = 0;

    virtual void readState(std::string address, Callback<EngineState> done) = 0;
    virtual void sendOrder(std::string address, EngineOrder order, Callback<OrderAnswer> done) = 0;

    /// \param done receives the KV cache of \a chat; an error if the engine has none.
    virtual void exportKv(std::string address, std::string chat, Callback<std::string> done) = 0;
    virtual void importKv(std::string address, std::string chat, std::string blob,
                          Callback<void> done) = 0;

    /// \brief Asks the weight store whether it provides \a version of \a model now. If it refuses
    /// because of too many requests, \a done receives an error with retryAfter.
    virtual void requestWeights(std::string model, std::string version, Callback<void> done) = 0;
};

} // namespace catkinloft
