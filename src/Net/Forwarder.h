#pragma once

#include "Base/Metrics.h"
#include "Base/ObjectStore.h"
#include "Base/Random.h"
#include "Base/Settings.h"
#include "Base/TableService.h"
#include "Control/RouterDirectory.h"
#include "Decide/Dispatcher.h"
#include "Net/HttpExchange.h"
#include "Net/StatusPage.h"
#include "Request/RequestContext.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft {

class EventLoop;
class HttpClient;

/// \brief Forwards requests that passed the filters to an upstream and returns the answers.
class Forwarder
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        Metrics &metrics;
        const Settings &settings;
        RouterDirectory &directory;
        TableService &table;
        ObjectStore &objects;
        RandomSource random;
        /// Answers a request for which there is no answer of an upstream.
        std::function<void(const RequestPtr &, const HttpExchangePtr &, const Error &)> refuse;
        /// Called for each chat that an upstream answered to this router directly.
        std::function<void(const RequestContext &, std::string_view upstream)> served = {};
    };

    explicit Forwarder(Options options);
    ~Forwarder();

    /// \brief Applies a new inventory; requests in progress keep the one that they started with.
    void setInventory(const InventoryPtr &inventory);

    void forward(RequestPtr request, HttpExchangePtr exchange);

    /// \returns the number of requests whose answer is not complete.
    std::size_t inProgress() const;

    /// \returns the ids of these requests.
    std::vector<std::string> unfinished() const;

    /// \brief Adds the load of upstreams and workspaces to \a report.
    void describe(StatusReport &report) const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
