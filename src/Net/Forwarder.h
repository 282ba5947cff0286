#pragma once

#include "Base/Metrics.h"
#include "Base/ObjectStore.h"
#include "Base/Random.h"
#include "Base/Settings.h"
#include "Base/TableService.h"
#include "Control/RouterDirectory.h"
#include "Decide/Dispatcher.h"
#include "Net/HttpExchange.h"
#include "Request/RequestContext.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft {

class EventLoop;
class HttpClient;

/// \brief Sends requests that passed the filters to an upstream and brings the answer back.
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
        /// Answers a request that ends without an upstream's answer.
        std::function<void(const RequestPtr &, const HttpExchangePtr &, const Error &)> refuse;
    };

    explicit Forwarder(Options options);
    ~Forwarder();

    /// \brief Takes over a new inventory; requests in progress keep theirs.
    void setInventory(const InventoryPtr &inventory);

    void forward(RequestPtr request, HttpExchangePtr exchange);

    /// \returns requests that have not got their whole answer.
    std::size_t inProgress() const;

    /// \returns the ids of these requests.
    std::vector<std::string> unfinished() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
