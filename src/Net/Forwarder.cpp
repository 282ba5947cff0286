#include "Net/Forwarder.h"

#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "Request/IdentifyFilter.h"

#include <array>
#include <map>
#include <set>
#include <strings.h>

#include <fmt/format.h>

namespace catkinloft {

namespace {

constexpr int MaxAttempts = 3;
constexpr std::string_view EndMarker = "data: [DONE]";

/// Headers that belong to one connection and are never passed on.
constexpr std::array ConnectionHeaders = {
        "Connection",       "Keep-Alive", "Transfer-Encoding", "Content-Length", "Host", "Upgrade",
        "Proxy-Connection", "TE",         "Trailer",           "Expect"};

bool isConnectionHeader(const std::string &name)
{
    return std::any_of(ConnectionHeaders.begin(), ConnectionHeaders.end(),
                       [&](const char *it) { return strcasecmp(it, name.c_str()) == 0; });
}

} // namespace

/// One request on its way through one or more upstreams.
class Forwarder::Attempt : public std::enable_shared_from_this<Forwarder::Attempt>
{
public:
    Attempt(Private &d, Dispatcher &pool, RequestPtr request, HttpExchangePtr exchange);

    void start();

private:
    void assigned(Result<Assignment> assignment);
    HttpCall makeCall(const Assignment &assignment) const;
    void gotHead(const HttpHead &head);
    void gotData(std::string_view data);
    void ended(const Result<void> &result);
    void retryOrRefuse(const Error &error);
    Result<void> checkAnswer() const;
    void deliver();
    void report(bool succeeded, Verdict verdict, Reason reason);
    void close();

    Private &m_d;
    Dispatcher &m_pool;
    RequestPtr m_request;
    HttpExchangePtr m_exchange;
    HttpHeaders m_headers; ///< Of the caller's request, to be passed on.
    std::vector<std::string> m_excluded;
    Assignment m_assignment;
    JobId m_job = 0;
    HttpCallPtr m_call;
    HttpHead m_head;
    std::string m_answer; ///< Whole answers; of a stream, its last bytes.
    TimePoint m_started;
    TimePoint m_firstByte;
};

struct Forwarder::Private
{
    explicit Private(Options o) : options(std::move(o)) { }

    Options options;
    std::map<std::string, std::unique_ptr<Dispatcher>> pools;
    std::set<std::shared_ptr<Attempt>> attempts;
    JobId nextJob = 1;
    std::unique_ptr<Timer> pollTimer;

    Dispatcher &pool(const RequestContext &request)
    {
        const bool chat = request.kind == RequestKind::Chat;
        const std::string key = (chat ? "model:" + request.model : "service:" + request.service);
        std::unique_ptr<Dispatcher> &it = pools[key];
        if (!it) {
            it = std::make_unique<Dispatcher>(
                    Dispatcher::Options{.clock = options.loop,
                                        .random = options.random,
                                        .self = options.directory.self().name});
            it->setRouters(options.directory.routers());
            updatePool(key, *it, request.inventory);
        }
        return *it;
    }

    static void updatePool(const std::string &key, Dispatcher &it, const InventoryPtr &inventory)
    {
        const std::string name = key.substr(key.find(':') + 1);
        if (key.starts_with("model:"))
            it.setEngines(inventory, name);
        else
            it.setReplicas(inventory, name);
    }

    void schedulePoll()
    {
        TimePoint next = TimePoint::max();
        for (const auto &it : pools)
            next = std::min(next, it.second->nextDeadline());
        if (next != TimePoint::max())
            pollTimer->start(next - options.loop.now());
    }
};

Forwarder::Forwarder(Options options) : m_d(std::make_unique<Private>(std::move(options)))
{
    m_d->pollTimer = std::make_unique<Timer>(m_d->options.loop, [d = m_d.get()] {
        for (const auto &it : d->pools)
            it.second->poll();
        d->schedulePoll();
    });
    m_d->options.directory.changed().connect([d = m_d.get()] {
        for (const auto &it : d->pools)
            it.second->setRouters(d->options.directory.routers());
    });
}

Forwarder::~Forwarder() = default;

void Forwarder::setInventory(const InventoryPtr &inventory)
{
    for (const auto &it : m_d->pools)
        Private::updatePool(it.first, *it.second, inventory);
}

void Forwarder::forward(RequestPtr request, HttpExchangePtr exchange)
{
    Dispatcher &pool = m_d->pool(*request);
    auto attempt = std::make_shared<Attempt>(*m_d, pool, std::move(request), std::move(exchange));
    m_d->attempts.insert(attempt);
    attempt->start();
}

void Forwarder::describe(StatusReport &report) const
{
    report.inProgress = inProgress();
    std::map<std::string, int> workspaces;
    for (const auto &[key, pool] : m_d->pools) {
        const Placement &placement = pool->placement();
        const std::string name = key.substr(key.find(':') + 1);
        for (std::size_t i = 0; i < placement.size(); ++i) {
            const auto state = placement.healthOf(i).state;
            report.upstreams.push_back({.name = placement.upstream(i).name,
                                        .pool = name,
                                        .work = placement.loadOf(i),
                                        .bound = placement.boundOf(i, 0),
                                        .leaving = placement.upstream(i).leaving,
                                        .ejected = state != HealthTracker::State::Healthy});
        }
        for (const auto &[workspace, n] : pool->inFlight())
            workspaces[workspace] += n;
    }
    for (const auto &[workspace, n] : workspaces)
        report.workspaces.push_back({.name = workspace, .inProgress = n});
}

std::size_t Forwarder::inProgress() const
{
    return m_d->attempts.size();
}

Forwarder::Attempt::Attempt(Private &d, Dispatcher &pool, RequestPtr request,
                            HttpExchangePtr exchange)
    : m_d(d), m_pool(pool), m_request(std::move(request)), m_exchange(std::move(exchange))
{
    for (HttpHeader &it : m_exchange->headers()) {
        if (!isConnectionHeader(it.first) && strcasecmp(it.first.c_str(), headers::RequestId) != 0)
            m_headers.push_back(std::move(it));
    }
    m_exchange->onClosed([this] {
        m_request->verdict = combine(m_request->verdict, Verdict::MayHaveRun);
        m_d.options.metrics.refused(Reason::CallerGone);
        report(false, Verdict::MayHaveRun, Reason::CallerGone);
        close();
    });
}

void Forwarder::Attempt::start()
{
    ++m_request->attempts;
    m_job = m_d.nextJob++;
    Job job{.id = m_job,
            .workspace = m_request->workspace->name,
            .chatKey = m_request->chatKey,
            .work = m_request->work,
            .priority = 0,
            .deadline = m_request->deadline,
            .hops = m_request->hops,
            .excluded = m_excluded};
    m_pool.submit(std::move(job), [self = shared_from_this()](Result<Assignment> assignment) {
        self->assigned(std::move(assignment));
    });
    m_d.schedulePoll();
}

void Forwarder::Attempt::assigned(Result<Assignment> assignment)
{
    if (!assignment) {
        m_job = 0;
        Error error = assignment.error();
        error.verdict = m_request->verdict;
        m_d.options.refuse(m_request, m_exchange, error);
        close();
        return;
    }
    m_assignment = std::move(assignment.value());
    m_started = m_d.options.loop.now();
    m_firstByte = {};
    m_answer.clear();
    m_call = m_d.options.client.send(makeCall(m_assignment),
                                     {.onHead = [this](const HttpHead &head) { gotHead(head); },
                                      .onData = [this](std::string_view data) { gotData(data); },
                                      .onEnd =
                                              [this](const Result<void> &result) {
                                                  const auto self = shared_from_this();
                                                  ended(result);
                                              }});
}

HttpCall Forwarder::Attempt::makeCall(const Assignment &assignment) const
{
    HttpCall call;
    call.address = assignment.address;
    call.method = m_request->method;
    call.target = m_request->path + (m_request->query.empty() ? "" : "?" + m_request->query);
    call.headers = m_headers;
    call.headers.emplace_back(headers::RequestId, m_request->id);
    if (assignment.relayed)
        call.headers.emplace_back(headers::Hops, "1");
    call.body = std::string(m_request->body);
    call.timeout = m_request->deadline - m_d.options.loop.now();
    if (m_request->streamed)
        call.progressTimeout = m_request->inventory->rules.progressTimeout;
    const TlsSettings &tls = m_d.options.settings.tls;
    call.secure = !(assignment.relayed ? tls.certificateFile : tls.caFile).empty();
    // A pooled connection may have gone silent, which would leave a call that can't be repeated
    // in doubt; a new one proves the path first.
    call.freshConnection = !m_request->idempotent;
    return call;
}

void Forwarder::Attempt::gotHead(const HttpHead &head)
{
    m_head = head;
    m_firstByte = m_d.options.loop.now();
}

void Forwarder::Attempt::gotData(std::string_view data)
{
    const bool stream = m_request->streamed && m_head.status == 200
            && m_head.header(headers::RequestId) == m_request->id;
    m_answer += data;
    if (!stream)
        return;
    if (m_answer.size() > 2 * EndMarker.size())
        m_answer.erase(0, m_answer.size() - 2 * EndMarker.size());
    if (!m_exchange->isStreaming()) {
        m_exchange->beginStream(200,
                                {{"Content-Type", "text/event-stream"},
                                 {headers::RequestId, m_request->id},
                                 {headers::Upstream, m_assignment.upstream}});
        m_exchange->onDrained([this] {
            if (m_call)
                m_call->resume();
        });
    }
    m_exchange->write(data);
    if (m_exchange->backlog() > m_d.options.settings.maxStreamBuffer)
        m_call->pause();
}

Result<void> Forwarder::Attempt::checkAnswer() const
{
    const std::string_view id = m_head.header(headers::RequestId);
    const bool chat = m_request->kind == RequestKind::Chat;
    if ((chat || !id.empty()) && id != m_request->id)
        return Error{.reason = Reason::AnswerMismatch, .verdict = Verdict::MayHaveRun};
    if (m_request->streamed && m_head.status == 200
        && m_answer.find(EndMarker) == std::string::npos)
        return Error{.reason = Reason::UpstreamBroken,
                     .verdict = Verdict::MayHaveRun,
                     .detail = "the stream ended without its end marker"};
    return outcome::success();
}

void Forwarder::Attempt::ended(const Result<void> &result)
{
    const Result<void> whole = result ? checkAnswer() : result;
    m_call.reset();
    if (!whole) {
        report(false, whole.error().verdict, whole.error().reason);
        retryOrRefuse(whole.error());
        return;
    }
    const bool overloaded = m_head.status == 503 || m_head.status == 429;
    report(!overloaded, Verdict::Ran, Reason::UpstreamRefused);
    m_request->verdict = Verdict::Ran;
    if (m_d.options.served && m_request->chatKey != 0 && !m_assignment.relayed && !overloaded)
        m_d.options.served(*m_request, m_assignment.upstream);
    deliver();
    close();
}

void Forwarder::Attempt::retryOrRefuse(const Error &error)
{
    m_request->verdict = combine(m_request->verdict, error.verdict);
    const bool repeatable = error.verdict == Verdict::NotRun || m_request->idempotent;
    if (repeatable && !m_exchange->isStreaming() && m_request->attempts < MaxAttempts
        && m_d.options.loop.now() < m_request->deadline) {
        m_d.options.metrics.retried(error.reason);
        m_excluded.push_back(m_assignment.upstream);
        start();
        return;
    }
    Error final = error;
    final.verdict = m_request->verdict;
    if (m_exchange->isStreaming())
        m_exchange->abort();
    else
        m_d.options.refuse(m_request, m_exchange, final);
    close();
}

void Forwarder::Attempt::deliver()
{
    if (m_exchange->isStreaming()) {
        m_exchange->end();
        return;
    }
    HttpHeaders out{{headers::RequestId, m_request->id},
                    {headers::Upstream, m_assignment.upstream},
                    {headers::Verdict, std::string(toString(Verdict::Ran))}};
    for (const HttpHeader &it : m_head.headers) {
        if (!isConnectionHeader(it.first) && strcasecmp(it.first.c_str(), headers::RequestId) != 0
            && strncasecmp(it.first.c_str(), "X-Catkinloft-", 13) != 0)
            out.push_back(it);
    }
    m_exchange->respond(m_head.status, out, m_answer);
}

void Forwarder::Attempt::report(bool succeeded, Verdict verdict, Reason reason)
{
    if (m_job == 0)
        return;
    const TimePoint now = m_d.options.loop.now();
    m_pool.finished(m_job,
                    {.succeeded = succeeded,
                     .verdict = verdict,
                     .reason = reason,
                     .untilFirstByte =
                             m_firstByte == TimePoint() ? now - m_started : m_firstByte - m_started,
                     .total = now - m_started});
    m_pool.cancel(m_job);
    m_job = 0;
}

void Forwarder::Attempt::close()
{
    m_call.reset();
    m_exchange->onClosed(nullptr);
    m_exchange->onDrained(nullptr);
    // Freed later: its own hooks may be on the stack.
    m_d.options.loop.post([held = shared_from_this()] {});
    m_d.attempts.erase(shared_from_this());
}

} // namespace catkinloft
