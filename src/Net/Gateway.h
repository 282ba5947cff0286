#pragma once

#include "Control/ConfigManager.h"
#include "Control/RouterDirectory.h"
#include "Net/Forwarder.h"
#include "Net/HttpExchange.h"
#include "Request/FilterChain.h"

#include <memory>

namespace catkinloft {

class PeerTask;

/// \brief Routes the requests of callers and operators to the filter chain, the operator pages and
/// the address queries.
class Gateway
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        Metrics &metrics;
        const Settings &settings;
        ConfigManager &config;
        PeerTask &peers;
        RouterDirectory &directory;
        TableService &table;
        ObjectStore &objects;
        RandomSource random;
        /// \sa Forwarder::Options
        std::function<void(const RequestContext &, std::string_view upstream)> served = {};
    };

    explicit Gateway(Options options);
    ~Gateway();

    void handle(const HttpExchangePtr &exchange);

    /// \brief Reports this router as not ready and closes connections after their answers. New
    /// requests are still taken, from callers that use an older answer of /v1/where.
    void leave();

    /// \brief Refuses new requests from now on.
    void drain();

    /// \returns the number of requests whose answer is not complete.
    std::size_t inProgress() const;

    /// \returns the ids of these requests.
    std::vector<std::string> unfinished() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
