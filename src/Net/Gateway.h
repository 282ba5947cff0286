#pragma once

#include "Control/ConfigKeeper.h"
#include "Control/RouterDirectory.h"
#include "Net/Forwarder.h"
#include "Net/HttpExchange.h"
#include "Request/FilterChain.h"

#include <memory>

namespace catkinloft {

class PeerTask;

/// \brief What callers and operators talk to: routes requests to the filter chain, the operators'
/// pages and the address answers.
class Gateway
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        Metrics &metrics;
        const Settings &settings;
        ConfigKeeper &config;
        PeerTask &peers;
        RouterDirectory &directory;
        RandomSource random;
        /// \sa Forwarder::Options
        std::function<void(const RequestContext &, std::string_view upstream)> served = {};
    };

    explicit Gateway(Options options);
    ~Gateway();

    void handle(const HttpExchangePtr &exchange);

    /// \brief Refuses new work from now on.
    void drain();

    /// \returns requests that have not got their whole answer.
    std::size_t inProgress() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
