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

/// \brief What an engine says about itself.
struct EngineState
{
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role;
    std::uint64_t fence = 0; ///< Highest fencing number that it saw; 0 where it ignores them.
};

enum class OrderKind { LoadModel, LoadAdapter, SetVersion, SetRole };

/// \returns the name on the wire, as `load_model`.
std::string_view toString(OrderKind kind);

/// \brief One order to an engine. Its arguments name the state to be reached, never a step towards
/// it, so that a repeated order changes nothing.
struct EngineOrder
{
    OrderKind kind = OrderKind::LoadModel;
    std::string model = {}; ///< LoadModel.
    std::string version = {}; ///< LoadModel, SetVersion.
    std::string adapter = {}; ///< LoadAdapter.
    std::string role = {}; ///< SetRole.
    std::uint64_t fence = 0;
    std::string id = {}; ///< Of this one giving; for logs at both ends.

    bool operator==(const EngineOrder &) const = default;
};

/// \brief An engine's answer to an order that it decided on.
struct OrderAnswer
{
    bool applied = false;
    std::uint64_t fence = 0; ///< Where refused: the number that it has seen.
};

/// \brief The way to the engines and to their weight store; asynchronous like TableService.
class EngineClient
{
public:
    template<typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~EngineClient() = default;

    /// \param address `ip:port` of the engine.
    virtual void readLoad(std::string address, Callback<EngineLoad> done) = 0;

    /// \param after `next` of the last answer; 0: from the start.
    virtual void readCacheEvents(std::string address, std::uint64_t after,
                                 Callback<CacheFeed> done) = 0;

    virtual void readState(std::string address, Callback<EngineState> done) = 0;
    virtual void sendOrder(std::string address, EngineOrder order, Callback<OrderAnswer> done) = 0;

    /// \param done gets the chat's KV cache; an error where the engine has none.
    virtual void exportKv(std::string address, std::string chat, Callback<std::string> done) = 0;
    virtual void importKv(std::string address, std::string chat, std::string blob,
                          Callback<void> done) = 0;

    /// \brief Asks the weight store for \a version of \a model. Its refusal for being asked too
    /// often is an error with retryAfter.
    virtual void requestWeights(std::string model, std::string version, Callback<void> done) = 0;
};

} // namespace catkinloft
