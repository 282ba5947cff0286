#pragma once

#include "Control/ConfigManager.h"
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

    /// \brief Answers that this router is not ready and closes connections behind their answers;
    /// still takes new work, from callers that hold an older address answer.
    void leave();

    /// \brief Refuses new work from now on.
    void drain();

    /// \returns requests that have not got their whole answer.
    std::size_t inProgress() const;

    /// \returns the ids of these requests.
    std::vector<std::string> unfinished() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
