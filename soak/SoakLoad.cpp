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
    if (m_options.leaverSeed)
        m_leaverRandom = seededRandom(*m_options.leaverSeed);
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
            StreamTemplate,
            RequestTemplate{"whole", "GET", "/whole/a?events=6", ""},
    };
    if (++m_number % RequestsPerResolve == 0)
        resolveRouters();
    const RequestTemplate &request =
            RequestTemplates[below(m_options.random, RequestTemplates.size())];
    const std::string &address = m_addresses[below(m_options.random, m_addresses.size())];
    const std::string id = fmt::format("s{}", m_number);
    if (isLeaver(request))
        sendAndLeave(id, routerIndexOf(address));
    else
        send(request, id, routerIndexOf(address));
}

HttpCall SoakLoad::composeCall(const RequestTemplate &request, const std::string &id,
                               std::size_t router)
{
    Attempt &attempt = m_attempts[id];
    attempt.route = request.route;
    attempt.key = m_key;
    attempt.router = router;
    attempt.sentAt = m_options.loop.wallNow();
    HttpCall out{.address = m_options.fleet.callerAddress(router),
                 .method = request.method,
                 .target = request.target,
                 .headers = {{"Host", standin::EntryFleet::Host},
                             {"X-Request-Id", id},
                             {"X-Request-Deadline", "3000"},
                             {"Authorization", "Bearer " + m_key},
                             {"X-Request-Priority", "0"}},
                 .body = std::string(request.body),
                 .timeout = 3500ms};
    if (!attempt.resumes.empty()) {
        out.headers.emplace_back("Resumes", attempt.resumes);
        out.headers.emplace_back("Last-Event-Id", fmt::format("{}", attempt.afterEvent));
    }
    return out;
}

void SoakLoad::send(const RequestTemplate &request, const std::string &id, std::size_t router)
{
    ++m_inProgress;
    m_client.fetch(composeCall(request, id, router), [this, id](const Result<HttpAnswer> &answer) {
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

bool SoakLoad::isLeaver(const RequestTemplate &request) const
{
    constexpr double LeavingShare = 0.4;
    return m_leaverRandom && request.route == std::string_view("stream")
            && uniform(m_leaverRandom) < LeavingShare;
}

void SoakLoad::sendAndLeave(const std::string &id, std::size_t router)
{
    ++m_inProgress;
    LeftStream &stream = m_leftStreams[id];
    stream.leaveAfter = 1 + static_cast<int>(below(m_leaverRandom, 4));
    stream.call = m_client.send(
            composeCall(StreamTemplate, id, router),
            {.onHead =
                     [this, id](const HttpHead &head) {
                         if (head.status != 200)
                             m_attempts[id].status = head.status;
                     },
             .onData = [this, id, router](std::string_view it) { receive(id, router, it); },
             .onEnd =
                     [this, id, router](const Result<void> &) {
                         m_options.loop.post([this, id, router] { resume(id, router); });
                     }});
}

void SoakLoad::receive(const std::string &id, std::size_t router, std::string_view data)
{
    const auto stream = m_leftStreams.find(id);
    if (stream == m_leftStreams.end() || m_attempts[id].status != 0)
        return;
    LeftStream &it = stream->second;
    it.received += data;
    for (std::size_t at = it.received.find("\n\n"); at != std::string::npos;
         at = it.received.find("\n\n")) {
        m_attempts[id].body += it.received.substr(0, at + 2);
        it.received.erase(0, at + 2);
        ++it.events;
    }
    // A call must not be destroyed from within its own callback.
    if (it.events >= it.leaveAfter)
        m_options.loop.post([this, id, router] { resume(id, router); });
}

void SoakLoad::resume(const std::string &first, std::size_t router)
{
    const auto stream = m_leftStreams.extract(first);
    if (stream.empty())
        return;
    --m_inProgress;
    const int events = stream.mapped().events;
    if (events == 0)
        return;
    constexpr auto MaxPause = 400ms;
    const Duration pause = scaled(MaxPause, uniform(m_leaverRandom));
    const std::size_t step = 1 + below(m_leaverRandom, m_options.fleet.routerCount() - 1);
    m_options.loop.after(pause, [=, this, next = (router + step) % m_options.fleet.routerCount()] {
        const std::string id = first + "-resumed";
        m_attempts[id].resumes = first;
        m_attempts[id].afterEvent = events;
        send(StreamTemplate, id, next);
    });
}

} // namespace catkinloft::soak
