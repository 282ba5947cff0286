#include "SoakLoad.h"

#include "Base/Json.h"
#include "ReplicaStandin.h"

#include <array>

#include <fmt/format.h>

namespace catkinloft::soak {

namespace {

using namespace std::chrono_literals;

/// Number of requests between two queries to the directory.
constexpr std::size_t RequestsPerResolve = 60;

} // namespace

SoakLoad::SoakLoad(Options options)
    : m_options(std::move(options)), m_client(m_options.loop),
      m_timer(m_options.loop, [this] { send(); }),
      // Takes no random numbers, so that the other requests are the same with and without it.
      m_fatalTimer(m_options.loop, [this] {
          send({"safe", "POST", "/safe/a", standin::FatalBody},
               fmt::format("{}{}", FatalIdPrefix, m_fatalNumber),
               m_fatalNumber % m_options.fleet.routerCount());
          ++m_fatalNumber;
      })
{
    for (std::size_t i = 0; i < m_options.fleet.routerCount(); ++i)
        m_addresses.push_back(m_options.fleet.callerAddress(i));
}

void SoakLoad::resolveRouters()
{
    const std::size_t i = below(m_options.random, m_options.fleet.routerCount());
    m_client.fetch({.address = m_options.fleet.directoryAddress(i),
                    .target = "/v1/resolve?name=entry.example&zone=hall",
                    .timeout = 1s},
                   [this](const Result<HttpAnswer> &answer) {
                       if (!answer || answer.value().head.status != 200)
                           return; // Callers continue with the addresses that they have.
                       const Result<Json::Value> root = parseJsonObject(answer.value().body);
                       if (!root || root.value()["addresses"].empty())
                           return;
                       m_addresses.clear();
                       for (const Json::Value &it : root.value()["addresses"])
                           m_addresses.push_back(it.asString());
                   });
}

void SoakLoad::sendFatal(Duration interval)
{
    if (interval > Duration::zero())
        m_fatalTimer.startRepeating(interval);
    else
        m_fatalTimer.stop();
}

std::size_t SoakLoad::routerIndexOf(const std::string &address) const
{
    for (std::size_t i = 0; i < m_options.fleet.routerCount(); ++i) {
        if (m_options.fleet.callerAddress(i) == address)
            return i;
    }
    return 0;
}

void SoakLoad::send()
{
    static constexpr std::array RequestTemplates = {
            RequestTemplate{"safe", "GET", "/safe/a", ""},
            RequestTemplate{"once", "POST", "/once/a", "body"},
            RequestTemplate{"stream", "GET", "/stream/a?events=6", ""},
            RequestTemplate{"whole", "GET", "/whole/a?events=6", ""},
    };
    if (++m_number % RequestsPerResolve == 0)
        resolveRouters();
    const RequestTemplate &request =
            RequestTemplates[below(m_options.random, RequestTemplates.size())];
    const std::string &address = m_addresses[below(m_options.random, m_addresses.size())];
    send(request, fmt::format("s{}", m_number), routerIndexOf(address));
}

void SoakLoad::send(const RequestTemplate &request, const std::string &id, std::size_t router)
{
    m_attempts[id] = {.route = request.route,
                      .key = m_key,
                      .router = router,
                      .sentAt = m_options.loop.wallNow()};
    ++m_inProgress;
    m_client.fetch({.address = m_options.fleet.callerAddress(router),
                    .method = request.method,
                    .target = request.target,
                    .headers = {{"Host", standin::EntryFleet::Host},
                                {"X-Request-Id", id},
                                {"X-Request-Deadline", "3000"},
                                {"Authorization", "Bearer " + m_key}},
                    .body = std::string(request.body),
                    .timeout = 3500ms},
                   [this, id](const Result<HttpAnswer> &answer) {
                       --m_inProgress;
                       if (!answer)
                           return;
                       Attempt &it = m_attempts[id];
                       it.status = answer.value().head.status;
                       it.body = answer.value().body;
                       it.signature = answer.value().head.header("X-Response-Signature");
                       it.saysLeaving = answer.value().head.header("Server-Leaving") == "1";
                       it.answeredAt = m_options.loop.wallNow();
                   });
}

} // namespace catkinloft::soak
