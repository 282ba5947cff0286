#pragma once

#include "Control/EngineClient.h"

#include <cstddef>
#include <functional>
#include <string>

namespace catkinloft {

class EventLoop;
class HttpClient;
struct HttpAnswer;
struct HttpCall;

/// \brief Calls the engines' control interface and the weight store over HTTP.
///
/// docs/INTERFACES.md describes their format.
class HttpEngineClient final : public EngineClient
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        std::string weightStore; ///< `ip:port`; empty: none, every request for weights succeeds.
        bool secure = false; ///< Whether engines are called over TLS.
        /// Called with the bytes that each control call sends, including headers.
        std::function<void(std::size_t)> sent = [](std::size_t) {};
    };

    explicit HttpEngineClient(Options options);

    void readLoad(std::string address, Callback<EngineLoad> done) override;
    void readCacheEvents(std::string address, std::uint64_t after,
                         Callback<CacheFeed> done) override;
    void readState(std::string address, Callback<EngineState> done) override;
    void sendOrder(std::string address, EngineOrder order, Callback<OrderAnswer> done) override;
    void exportKv(std::string address, std::string chat, Callback<std::string> done) override;
    void importKv(std::string address, std::string chat, std::string blob,
                  Callback<void> done) override;
    void requestWeights(std::string model, std::string version, Callback<void> done) override;

private:
    using Receiver = std::function<void(Result<HttpAnswer>)>;

    void fetch(HttpCall call, Receiver done);

    Options m_options;
};

} // namespace catkinloft
