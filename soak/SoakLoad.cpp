#include "SoakLoad.h"

#include "Base/Json.h"
#include "ReplicaStandin.h"
#include "SlowCallers.h"

#include <array>

#include <fmt/format.h>

namespace catkinloft::soak {

namespace {

using namespace std::chrono_literals;

/// Number of requests between two queries to the directory.
constexpr std::size_t RequestsPerResolve = 60;

/// How much longer than CallerTimeout callers wait for an answer.
constexpr auto CallerGrace = 500ms;

/// Time between two long streams. About 80 are in progress, more than the retry budget allows
/// retries.
constexpr Duration LongStreamInterval = 16ms;

/// Requests per second of all additional workspaces without overload.
constexpr double UsualWorkspaceRate = 20;

/// Share of the surging workspace in an overload. Usually each has a quarter of UsualWorkspaceRate,
/// so this is 50 times its usual rate or more.
constexpr double SurgingShare = 0.5;

/// Interval in which due requests of the workspaces are sent, and the longest time that counts. The
/// limit prevents a burst of all that was due while this process did not run.
constexpr Duration WorkspaceInterval = 5ms;
constexpr Duration MaxWorkspaceDelay = 50ms;

/// Tries of one request. Each failure is followed by the next try at once.
constexpr int MaxTries = 3;

/// Tries in progress at one router, above which callers of the workspaces send nothing there. The
/// callers of a service are limited in number as well; without a limit a paused router would hold
/// thousands of connections.
constexpr std::size_t MaxTriesPerRouter = 200;

constexpr int Unavailable = 503;

bool isRepeatable(std::string_view route)
{
    return route == "safe" || route == "stream";
}

} // namespace

SoakLoad::SoakLoad(Options options)
    : m_options(std::move(options)), m_client(m_options.loop),
      m_timer(m_options.loop, [this] { send(); }),
      // Takes no random numbers, so that the other requests are the same with and without it.
      m_fatalTimer(m_options.loop,
                   [this] {
                       send({"safe", "POST", "/safe/a", standin::FatalBody},
                            fmt::format("{}{}", FatalIdPrefix, m_fatalNumber),
                            m_fatalNumber % m_options.fleet.routerCount());
                       ++m_fatalNumber;
                   }),
      m_longStreamTimer(m_options.loop, [this] { sendLongStream(); }),
      m_workspaceTimer(m_options.loop, [this] { sendForWorkspaces(); }),
      m_canaryTimer(m_options.loop, [this] { sendCanaries(); }),
      m_workspaceRate(UsualWorkspaceRate), m_triesInProgress(m_options.fleet.routerCount())
{
    for (std::size_t i = 0; i < m_options.fleet.routerCount(); ++i)
        m_addresses.push_back(m_options.fleet.callerAddress(i));
    if (m_options.leaverSeed)
        m_leaverRandom = seededRandom(*m_options.leaverSeed);
    if (m_options.workspaceSeed)
        m_workspaceRandom = seededRandom(*m_options.workspaceSeed);
    if (m_options.longStreamSeed)
        m_longStreamRandom = seededRandom(*m_options.longStreamSeed);
}

SoakLoad::~SoakLoad() = default;

void SoakLoad::start()
{
    m_timer.startRepeating(m_options.interval);
    m_workspaceSentAt = m_options.loop.now();
    if (m_workspaceRandom)
        m_workspaceTimer.startRepeating(WorkspaceInterval);
    if (m_longStreamRandom)
        m_longStreamTimer.startRepeating(LongStreamInterval);
    if (m_options.slowCallerSeed)
        m_slowCallers = std::make_unique<SlowCallers>(
                SlowCallers::Options{.loop = m_options.loop,
                                     .fleet = m_options.fleet,
                                     .random = seededRandom(*m_options.slowCallerSeed),
                                     .key = m_key,
                                     .attempts = m_attempts});
}

void SoakLoad::stop()
{
    m_timer.stop();
    m_fatalTimer.stop();
    m_longStreamTimer.stop();
    m_workspaceTimer.stop();
    m_canaryTimer.stop();
    if (m_slowCallers)
        m_slowCallers->stopSending();
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

const SoakLoad::RequestTemplate &SoakLoad::templateAt(std::size_t i)
{
    static constexpr std::array<RequestTemplate, TemplateCount> RequestTemplates = {
            RequestTemplate{"safe", "GET", "/safe/a", ""},
            RequestTemplate{"once", "POST", "/once/a", "body"},
            StreamTemplate,
            RequestTemplate{"whole", "GET", "/whole/a?events=6", ""},
    };
    return RequestTemplates[i];
}

void SoakLoad::send()
{
    if (++m_number % RequestsPerResolve == 0)
        resolveRouters();
    std::size_t kind = below(m_options.random, TemplateCount);
    // Each template that may be repeated is followed by one that may not.
    if (m_options.onlyRetryable)
        kind -= kind % 2;
    const RequestTemplate &request = templateAt(kind);
    const std::string &address = m_addresses[below(m_options.random, m_addresses.size())];
    const std::string id = fmt::format("s{}", m_number);
    if (isLeaver(request))
        sendAndLeave(id, routerIndexOf(address));
    else
        send(request, id, routerIndexOf(address));
}

void SoakLoad::sendLongStream()
{
    const std::string id = fmt::format("l{}", ++m_longStreamNumber);
    m_attempts[id].lastEvent = LongStreamEvents;
    send(LongStreamTemplate, id,
         routerIndexOf(m_addresses[below(m_longStreamRandom, m_addresses.size())]));
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
                             {"X-Request-Deadline", fmt::format("{}", CallerTimeout / 1ms)},
                             {"Authorization", "Bearer " + m_key},
                             {"X-Request-Priority", "0"}},
                 .body = std::string(request.body),
                 .timeout = CallerTimeout + CallerGrace};
    if (!attempt.resumes.empty()) {
        out.headers.emplace_back("Resumes", attempt.resumes);
        out.headers.emplace_back("Last-Event-Id", fmt::format("{}", attempt.afterEvent));
    }
    return out;
}

void SoakLoad::send(const RequestTemplate &request, const std::string &id, std::size_t router)
{
    ++m_inProgress;
    fetch(composeCall(request, id, router), id, [this] { --m_inProgress; });
}

void SoakLoad::fetch(HttpCall call, const std::string &id, std::function<void()> done)
{
    Call &it = m_calls[id];
    it.handle = m_client.send(
            std::move(call),
            {.onHead = [&it](const HttpHead &head) { it.answer.head = head; },
             .onData = [&it](std::string_view data) { it.answer.body += data; },
             .onEnd =
                     [this, id, done = std::move(done)](const Result<void> &result) {
                         const auto ended =
                                 std::make_shared<Call>(std::move(m_calls.extract(id).mapped()));
                         m_attempts[id].noteEnd(*ended->handle, result, m_options.loop.wallNow());
                         // Destroyed later: the call is still on the stack.
                         m_options.loop.post([ended] {});
                         record(id,
                                result ? Result<HttpAnswer>(std::move(ended->answer))
                                       : result.error());
                         done();
                     }});
}

void SoakLoad::record(const std::string &id, const Result<HttpAnswer> &answer)
{
    Attempt &it = m_attempts[id];
    if (!answer) {
        if (answer.error().reason == Reason::UpstreamBroken)
            it.cutOffAt = m_options.loop.wallNow();
        return;
    }
    it.status = answer.value().head.status;
    it.body = answer.value().body;
    it.signature = answer.value().head.header("X-Response-Signature");
    it.saysLeaving = answer.value().head.header("Server-Leaving") == "1";
    it.retryAfter = answer.value().head.header("Retry-After");
    it.answeredAt = m_options.loop.wallNow();
}

void SoakLoad::setOverload(double perSecond, std::size_t surging)
{
    m_workspaceRate = perSecond;
    m_surging = surging;
    m_canaryTimer.startRepeating(CanaryInterval);
}

void SoakLoad::endOverload()
{
    m_workspaceRate = UsualWorkspaceRate;
    m_surging.reset();
    m_canaryTimer.stop();
}

void SoakLoad::sendForWorkspaces()
{
    const TimePoint now = m_options.loop.now();
    m_workspaceDue += m_workspaceRate
            * toSeconds(std::min<Duration>(now - m_workspaceSentAt, MaxWorkspaceDelay));
    m_workspaceSentAt = now;
    for (; m_workspaceDue >= 1; m_workspaceDue -= 1) {
        const bool isSurge = m_surging && uniform(m_workspaceRandom) < SurgingShare;
        const std::size_t any = below(m_workspaceRandom, standin::EntryFleet::Workspaces);
        sendTry({.request = &templateAt(below(m_workspaceRandom, TemplateCount)),
                 .priority = static_cast<int>(
                         below(m_workspaceRandom, standin::EntryFleet::Priorities)),
                 .workspace = isSurge ? *m_surging : any,
                 .deadline = now + CallerTimeout,
                 .first = fmt::format("w{}", ++m_workspaceNumber)});
    }
}

void SoakLoad::sendTry(const WorkspaceTry &it)
{
    const std::size_t router =
            routerIndexOf(m_addresses[below(m_workspaceRandom, m_addresses.size())]);
    if (m_triesInProgress[router] >= MaxTriesPerRouter)
        return;
    ++m_triesInProgress[router];
    const std::string id =
            it.number == 1 ? it.first : fmt::format("{}-try-{}", it.first, it.number);
    const Duration left = it.deadline - m_options.loop.now();
    HttpCall call = composeCall(*it.request, id, router);
    const std::string_view route = it.request->route;
    call.target.replace(1, route.size(),
                        standin::EntryFleet::priorityRoute(std::string(route), it.priority));
    Attempt &attempt = m_attempts[id];
    attempt.key = standin::EntryFleet::workspaceKey(it.workspace);
    attempt.workspace = standin::EntryFleet::workspaceName(it.workspace);
    attempt.priority = it.priority;
    attempt.firstTry = it.number == 1 ? std::string() : it.first;
    for (HttpHeader &header : call.headers) {
        if (header.first == "Authorization")
            header.second = "Bearer " + attempt.key;
        else if (header.first == "X-Request-Deadline")
            header.second = fmt::format("{}", left / 1ms);
    }
    call.timeout = left + CallerGrace;
    ++m_inProgress;
    fetch(std::move(call), id, [this, it, id, router] {
        --m_inProgress;
        --m_triesInProgress[router];
        retry(it, m_attempts[id]);
    });
}

/// Like real callers, repeats a refused request whatever its route is, and one with an unknown
/// outcome only if it may run twice.
void SoakLoad::retry(WorkspaceTry it, const Attempt &failed)
{
    const bool mayRepeat = failed.status == Unavailable
            || ((failed.status == 0 || failed.status >= 500) && isRepeatable(it.request->route));
    if (!mayRepeat || it.number >= MaxTries || !m_workspaceTimer.isPending()
        || it.deadline <= m_options.loop.now())
        return;
    ++it.number;
    sendTry(it);
}

void SoakLoad::sendCanaries()
{
    // No route has the path of a canary, and no replica is its target.
    for (std::size_t i = 0; i < m_options.fleet.routerCount(); ++i)
        sendCanary(m_options.fleet.callerAddress(i), {"Host", standin::EntryFleet::Host});
    for (std::size_t i = 0; i < m_options.fleet.replicaCount(); ++i)
        sendCanary(m_options.fleet.replicaAddress(i), {"X-Target-Instance", "none"});
}

void SoakLoad::sendCanary(const std::string &address, const HttpHeader &header)
{
    const std::size_t index = m_canaries.size();
    m_canaries.push_back({.sentAt = m_options.loop.wallNow()});
    m_client.fetch({.address = address,
                    .target = "/canary",
                    .headers = {{"X-Request-Id", fmt::format("canary-{}", index)}, header},
                    .timeout = CallerTimeout},
                   [this, index](const Result<HttpAnswer> &answer) {
                       Canary &it = m_canaries[index];
                       if (answer)
                           it.delay = m_options.loop.wallNow() - it.sentAt;
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
                         if (head.status == 200)
                             return;
                         Attempt &it = m_attempts[id];
                         it.status = head.status;
                         it.retryAfter = head.header("Retry-After");
                         it.answeredAt = m_options.loop.wallNow();
                     },
             .onData = [this, id, router](std::string_view it) { receive(id, router, it); },
             .onEnd =
                     [this, id, router](const Result<void> &result) {
                         if (const auto it = m_leftStreams.find(id); it != m_leftStreams.end())
                             m_attempts[id].noteEnd(*it->second.call, result,
                                                    m_options.loop.wallNow());
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
    m_attempts[first].hasLeft = true;
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
