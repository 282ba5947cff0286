#include "Net/ForwardTask.h"

#include "Net/EventLoop.h"
#include "Net/internal/ForwardHeaders.h"
#include "Request/IdentifyFilter.h"
#include "Request/RequestFingerprint.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace catkinloft {

namespace {

/// More attempts would only add load to a failing pool. The retry budget limits the sum of retries
/// of all requests.
constexpr int MaxAttempts = 3;

/// Upstreams that may crash during attempts of one request. The second crash may be a coincidence.
constexpr int MaxCrashedUpstreams = 2;

/// Leaves room for the suffix within the longest id that a router accepts from another router.
constexpr std::size_t MaxIdPrefix = 96;

/// Delay after which a caller may retry if no upstream was reachable. Upstreams take seconds to
/// start.
constexpr Duration UnreachableRetry = std::chrono::seconds(1);

bool refusedForDraining(const HttpHead &head, const std::string &body)
{
    return head.status == 503 && body.find(R"("reason":"draining")") != std::string::npos;
}

} // namespace

ForwardTask::ForwardTask(Options options)
    : m_options(std::move(options)), m_request(*m_options.request), m_exchange(*m_options.exchange),
      m_headers(internal::requestHeaders(m_exchange)),
      m_heartbeat(m_options.router.loop, [this] { heartbeat(); })
{
    m_job = {.id = m_options.job,
             .workspace = m_request.workspace->name,
             .chatKey = m_request.chatKey,
             .work = m_request.work,
             .deadline = m_request.deadline,
             .hops = m_request.hops};
    m_exchange.onClosed([this] {
        const auto self = shared_from_this();
        callerLeft();
    });
}

TimePoint ForwardTask::now() const
{
    return m_options.router.loop.now();
}

Repeatability ForwardTask::repeatability() const
{
    if (m_request.idempotent)
        return Repeatability::Idempotent;
    return m_request.idempotencyKey.empty() ? Repeatability::Unkeyed : Repeatability::Keyed;
}

void ForwardTask::start()
{
    if (const std::optional<Error> held = quarantineError())
        return refuse(*held);
    ++m_request.attempts;
    m_job.hops = m_direct ? 1 : m_request.hops;
    m_options.pool->submit(m_job, [self = shared_from_this()](Result<Assignment> assignment) {
        self->placed(std::move(assignment));
    });
}

void ForwardTask::placed(Result<Assignment> assignment)
{
    if (m_closed)
        return;
    if (!assignment) {
        refuse(assignment.error());
        return;
    }
    m_placed = true;
    m_assignment = std::move(assignment.value());
    // The request may have waited in a queue since the quarantine was checked in start().
    if (const std::optional<Error> held = quarantineError()) {
        report(true, Verdict::NotRun, Reason::RequestQuarantined);
        return refuse(*held);
    }
    m_freshConnection =
            !m_request.idempotent || (m_request.kind == RequestKind::Chat && !m_request.streamed);
    // The key is claimed only now, so that a call refused by the queues causes no store access.
    if (repeatability() == Repeatability::Keyed && !m_claim)
        claim();
    else
        send();
}

void ForwardTask::claim()
{
    const std::string target = m_request.path + "?" + m_request.query;
    m_options.claims.claim(
            {.workspace = m_request.workspace->name,
             .key = m_request.idempotencyKey,
             .fingerprint = ClaimManager::fingerprint(m_request.method, target, m_request.body),
             .deadline = m_request.deadline},
            [self = shared_from_this()](const Result<ClaimManager::Grant> &it) {
                self->claimed(it);
            });
}

void ForwardTask::claimed(const Result<ClaimManager::Grant> &grant)
{
    if (grant && grant.value().claim)
        m_claim = grant.value().claim;
    if (m_callerLeft) {
        settleClaim();
        close();
    } else if (!grant) {
        report(true, Verdict::NotRun, grant.error().reason);
        refuse(grant.error());
    } else if (m_claim) {
        send();
    } else {
        report(true, Verdict::NotRun, Reason::ClaimInProgress);
        deliverRecorded(grant.value().answer);
    }
}

void ForwardTask::send()
{
    if (m_request.streamed && m_request.hops > 0)
        m_heartbeat.startRepeating(m_request.inventory->rules.progressTimeout / 3);
    const bool tooLate = now() >= m_request.deadline;
    if (tooLate || (m_claim && !m_options.claims.maySend(*m_claim))) {
        report(true, Verdict::NotRun, Reason::DeadlineExpired);
        refuse({.reason = Reason::DeadlineExpired,
                .detail = "nothing was sent in this attempt",
                .rule = "rules.request_timeout"});
        return;
    }
    m_upstreamId = fmt::format("{}.{:016x}", std::string_view(m_request.id).substr(0, MaxIdPrefix),
                               m_options.router.random());
    m_started = now();
    m_firstByte = {};
    m_answer.clear();
    m_head = {};
    m_call = m_options.router.client.send(
            makeCall(),
            {.onHead = [this](const HttpHead &head) { gotHead(head); },
             .onData = [this](std::string_view data) { gotData(data); },
             .onEnd =
                     [this](const Result<void> &result) {
                         const auto self = shared_from_this();
                         ended(result);
                     }});
}

HttpCall ForwardTask::makeCall() const
{
    const Duration left = m_request.deadline - now();
    HttpCall call{.address = m_assignment.address,
                  .method = m_request.method,
                  .target = m_request.path + (m_request.query.empty() ? "" : "?" + m_request.query),
                  .headers = m_headers,
                  .body = std::string(m_request.body),
                  .timeout = left,
                  .freshConnection = m_freshConnection,
                  .answerId = {headers::RequestId, m_upstreamId}};
    call.headers.emplace_back(headers::RequestId, m_upstreamId);
    call.headers.emplace_back(
            headers::Deadline,
            fmt::format("{}", std::max<std::int64_t>(1, left.count() / 1'000'000)));
    if (m_assignment.relayed) {
        call.headers.emplace_back(headers::Hops, "1");
        // The next router authenticates the caller itself.
        call.headers.emplace_back(headers::Authorization,
                                  std::string(m_request.header(headers::Authorization)));
    }
    const TlsSettings &tls = m_options.router.settings.tls;
    call.secure = !(m_assignment.relayed ? tls.certificateFile : tls.caFile).empty();
    // A pooled connection may be broken without this router knowing. Requests that can be retried
    // detect that by the progress timeout. All others use a new connection, whose handshake shows
    // that the upstream is reachable before any byte of the request is sent.
    if (!m_freshConnection)
        call.progressTimeout = m_request.inventory->rules.progressTimeout;
    return call;
}

void ForwardTask::gotHead(const HttpHead &head)
{
    m_head = head;
    m_firstByte = now();
    const bool matches = head.header(headers::RequestId) == m_upstreamId;
    if (!m_request.streamed || head.status != 200 || !matches)
        return;
    openStream(streamSource(), -1);
    m_stream->adopt(std::move(m_call));
}

void ForwardTask::gotData(std::string_view data)
{
    if (m_stream)
        m_stream->data(data);
    else
        m_answer += data;
}

Result<void> ForwardTask::checkAnswer() const
{
    const std::string_view id = m_head.header(headers::RequestId);
    const bool mustEcho = m_request.kind == RequestKind::Chat;
    if (id == m_upstreamId || (id.empty() && !mustEcho))
        return outcome::success();
    return Error{.reason = Reason::AnswerMismatch,
                 .verdict = Verdict::MayHaveRun,
                 .detail = "the answer carries the id of another request"};
}

void ForwardTask::ended(const Result<void> &result)
{
    if (m_stream) {
        m_stream->ended(result);
        return;
    }
    m_call.reset();
    const Result<void> whole = result ? checkAnswer() : result;
    if (!whole) {
        attemptFailed(whole.error());
        return;
    }
    if (m_assignment.relayed && refusedForDraining(m_head, m_answer)) {
        // The router that owns the engine refused the request; the engine itself can still take it.
        report(true, Verdict::NotRun, Reason::Draining);
        m_direct = true;
        start();
        return;
    }
    const Service *it = m_request.kind == RequestKind::Call ? service() : nullptr;
    const auto declines = it ? it->notRunStatuses : std::vector<int>();
    if (std::find(declines.begin(), declines.end(), m_head.status) != declines.end()) {
        failed({.reason = Reason::UpstreamRefused,
                .detail = fmt::format("status {} means that the request was not run",
                                      m_head.status)});
        return;
    }
    const bool overloaded = m_head.status == 503 || m_head.status == 429;
    report(!overloaded, Verdict::Ran, Reason::UpstreamRefused);
    m_request.verdict = Verdict::Ran;
    if (!overloaded)
        noteServed();
    if (m_head.status / 100 == 2 && !m_options.quarantine.isEmpty())
        m_options.quarantine.completed(fingerprint());
    if (m_claim) {
        m_options.claims.recordAnswer(m_claim,
                                      {.status = m_head.status,
                                       .contentType = std::string(m_head.header("Content-Type")),
                                       .body = m_answer});
        m_claim.reset();
    }
    deliver(Verdict::Ran);
}

/// Tells the router in front that the engine has received the request. While the engine processes a
/// long prompt there is no token to send, and without any data the router in front would retry the
/// request.
void ForwardTask::heartbeat()
{
    if (m_stream && m_stream->delivered()) {
        m_heartbeat.stop();
        return;
    }
    if (!m_exchange.isStreaming())
        m_exchange.beginStream(200, streamHead());
    m_exchange.write(": waiting\n\n");
}

/// Reports that the engine now caches the context of the chat.
void ForwardTask::noteServed() const
{
    if (m_options.router.served && m_request.chatKey != 0 && !m_assignment.relayed)
        m_options.router.served(m_request, m_assignment.upstream);
}

void ForwardTask::callerLeft()
{
    m_callerLeft = true;
    m_options.router.metrics.refused(Reason::CallerGone);
    if (m_stream) {
        m_stream->callerLeft();
        return;
    }
    // A claimed call continues: the caller may request its outcome later with the same key.
    if (repeatability() == Repeatability::Keyed && m_placed)
        return;
    const VerdictRule &rule = verdictRule(ErrorPath::CallerLeft, repeatability());
    report(true, rule.verdict, Reason::CallerGone);
    m_options.pool->cancel(m_job.id);
    close();
}

// --- Streams ---

std::optional<StreamRelay::Source> ForwardTask::streamSource() const
{
    if (!m_assignment.relayed)
        return StreamRelay::Source{m_assignment.address, m_upstreamId};
    const Result<ResumeToken> token = ResumeToken::decode(m_head.header(headers::Resume),
                                                          m_options.router.settings.refusalKeys);
    if (!token)
        return std::nullopt;
    for (const Engine &it : m_request.inventory->engines) {
        if (it.name == token.value().engine)
            return StreamRelay::Source{it.address, token.value().upstreamId, false};
    }
    return std::nullopt;
}

std::string ForwardTask::resumeToken() const
{
    ResumeToken out{.workspace = m_request.workspace->name,
                    .requestId = m_request.id,
                    .upstreamId = m_upstreamId,
                    .engine = m_assignment.upstream};
    const auto &keys = m_options.router.settings.refusalKeys;
    if (!m_assignment.relayed)
        return out.encode(keys);
    const Result<ResumeToken> token = ResumeToken::decode(m_head.header(headers::Resume), keys);
    if (!token)
        return {};
    out.upstreamId = token.value().upstreamId;
    out.engine = token.value().engine;
    return out.encode(keys);
}

HttpHeaders ForwardTask::streamHead() const
{
    HttpHeaders out{{"Content-Type", "text/event-stream"},
                    {headers::RequestId, m_request.id},
                    {headers::Upstream, m_assignment.upstream}};
    if (std::string token = resumeToken(); !token.empty())
        out.emplace_back(headers::Resume, std::move(token));
    return out;
}

void ForwardTask::openStream(const std::optional<StreamRelay::Source> &source,
                             std::int64_t lastEventId)
{
    m_stream = std::make_unique<StreamRelay>(StreamRelay::Options{
            .loop = m_options.router.loop,
            .client = m_options.router.client,
            .metrics = m_options.router.metrics,
            .settings = m_options.router.settings,
            .buffered = m_options.buffered,
            .exchange = m_options.exchange,
            .head = streamHead(),
            .source = source,
            .progressTimeout = m_request.inventory->rules.progressTimeout,
            .deadline = m_request.deadline,
            .lastEventId = lastEventId,
            .done = [this](const Result<void> &result) { streamEnded(result); }});
}

void ForwardTask::resume(const ResumeToken &token, const std::string &engineAddress)
{
    m_started = now();
    m_assignment = {.upstream = token.engine, .address = engineAddress};
    m_upstreamId = token.upstreamId;
    openStream(StreamRelay::Source{engineAddress, token.upstreamId}, m_request.lastEventId);
    m_stream->resume();
}

void ForwardTask::streamEnded(const Result<void> &result)
{
    const auto self = shared_from_this();
    if (result) {
        report(true, Verdict::Ran, Reason::Internal);
        m_request.verdict = Verdict::Ran;
        noteServed();
        if (!m_options.quarantine.isEmpty())
            m_options.quarantine.completed(fingerprint());
        close();
        return;
    }
    const Reason reason = result.error().reason;
    if (reason == Reason::CallerGone || reason == Reason::SlowCaller) {
        if (reason == Reason::SlowCaller)
            m_options.router.metrics.refused(reason);
        report(true, Verdict::MayHaveRun, reason);
        m_exchange.abort();
        close();
        return;
    }
    attemptFailed(result.error());
}

// --- Requests that crash their upstreams ---

const std::string &ForwardTask::fingerprint()
{
    if (m_fingerprint.empty())
        m_fingerprint = requestFingerprint({.workspace = m_request.workspace->name,
                                            .method = m_request.method,
                                            .target = m_request.path + "?" + m_request.query,
                                            .body = m_request.body});
    return m_fingerprint;
}

/// The service or model stands for the software, since the inventory contains no program versions.
std::string ForwardTask::software() const
{
    return m_request.kind == RequestKind::Call ? m_request.service : m_request.model;
}

std::optional<Error> ForwardTask::quarantineError()
{
    if (m_options.quarantine.isEmpty())
        return std::nullopt;
    const std::string running = software();
    const std::optional<RequestQuarantine::Hold> held =
            m_options.quarantine.admit(fingerprint(), {&running, 1});
    if (!held)
        return std::nullopt;
    return Error{.reason = Reason::RequestQuarantined,
                 .detail = fmt::format("upstreams {} crashed while they processed this request",
                                       fmt::join(held->replicas, " ")),
                 .retryAfter = held->remaining,
                 .figures = {{"ended_replicas", static_cast<double>(held->replicas.size())}}};
}

void ForwardTask::attemptFailed(const Error &error)
{
    const bool broke =
            error.reason == Reason::UpstreamBroken || error.reason == Reason::UpstreamUnreachable;
    const bool mayHaveCrashed = broke && error.verdict == Verdict::MayHaveRun && m_placed
            && !m_assignment.relayed && !m_callerLeft;
    mayHaveCrashed ? checkForCrash(error) : failed(error);
}

void ForwardTask::checkForCrash(const Error &error)
{
    const CrashWatch::BrokenAttempt attempt{.requestId = m_request.id,
                                            .suspects = {fingerprint()},
                                            .replica = m_assignment.upstream,
                                            .software = software(),
                                            .address = m_assignment.address,
                                            .sentAt = m_started};
    m_options.crashes.checkReplica(attempt, CrashWatch::AliveCriterion::StaysOpen,
                                   [self = shared_from_this(), error](CrashWatch::State state) {
                                       if (state == CrashWatch::State::Crashed)
                                           ++self->m_crashedUpstreams;
                                       if (!self->m_closed)
                                           self->failed(error);
                                   });
}

// --- Completion ---

void ForwardTask::failed(const Error &error)
{
    // The connection broke before the stream began, but the engine may be generating tokens.
    const bool unanswered = !m_stream && m_request.kind == RequestKind::Chat && m_request.streamed
            && !m_assignment.relayed && error.verdict == Verdict::MayHaveRun
            && error.reason != Reason::AnswerMismatch && !m_callerLeft;
    if (unanswered) {
        openStream(streamSource(), -1);
        m_stream->resume();
        return;
    }
    const bool delivered = m_stream && m_stream->delivered();
    const VerdictRule &rule = verdictRule(errorPathOf(error, delivered), repeatability());
    m_request.verdict = combine(m_request.verdict, rule.verdict);
    if (!m_callerLeft && rule.mayRetry && tryAnotherConnection(error))
        return;
    report(false, rule.verdict, error.reason);
    if (!m_callerLeft && mayRetry(rule, error)) {
        m_options.router.metrics.retried(error.reason);
        m_job.excluded.push_back(m_assignment.upstream);
        // The relay's own callbacks may be on the stack.
        m_options.router.loop.post([held = std::shared_ptr<StreamRelay>(std::move(m_stream))] {});
        start();
        return;
    }
    settleClaim();
    if (delivered) {
        m_options.router.metrics.refused(error.reason);
        m_exchange.abort();
        close();
    } else if (error.reason == Reason::UpstreamRefused) {
        deliver(m_request.verdict);
    } else {
        refuse(error);
    }
}

/// A timeout on a pooled connection does not show that the upstream failed; a timeout on a new one
/// does.
bool ForwardTask::tryAnotherConnection(const Error &error)
{
    if (m_freshConnection || m_request.streamed || error.reason != Reason::UpstreamTimeout
        || now() >= m_request.deadline)
        return false;
    m_options.router.metrics.retried(error.reason);
    m_options.router.client.dropIdle(m_assignment.address);
    m_freshConnection = true;
    send();
    return true;
}

bool ForwardTask::mayRetry(const VerdictRule &rule, const Error &error)
{
    // A suspected request gets no second attempt, which protects the other upstreams of the
    // service.
    if (m_crashedUpstreams > 0 && m_options.quarantine.suspicion(fingerprint()) > 1)
        return false;
    return m_options.pool && rule.mayRetry && m_request.attempts < MaxAttempts
            && now() < m_request.deadline && m_crashedUpstreams < MaxCrashedUpstreams
            && m_options.pool->mayRetry(m_job, error.reason);
}

void ForwardTask::refuse(Error error)
{
    // Earlier attempts count too; the error of a claim covers the other attempts with its key.
    error.verdict = combine(m_request.verdict, error.verdict);
    if (error.reason == Reason::UpstreamUnreachable && error.verdict == Verdict::NotRun)
        error.retryAfter = UnreachableRetry;
    settleClaim();
    if (m_exchange.isStreaming())
        m_exchange.abort();
    else
        m_options.router.refuse(m_options.request, m_options.exchange, error);
    close();
}

void ForwardTask::settleClaim()
{
    const ClaimPtr claim = std::exchange(m_claim, nullptr);
    if (!claim)
        return;
    if (m_request.verdict == Verdict::NotRun)
        m_options.claims.release(claim);
    else
        m_options.claims.recordUnknown(claim);
}

void ForwardTask::deliver(Verdict verdict)
{
    const std::string_view relayedVerdict =
            m_assignment.relayed ? m_head.header(headers::Verdict) : std::string_view();
    HttpHeaders out = internal::answerHeaders(m_head);
    out.emplace_back(headers::RequestId, m_request.id);
    out.emplace_back(headers::Upstream, m_assignment.upstream);
    out.emplace_back(headers::Verdict, relayedVerdict.empty() ? toString(verdict) : relayedVerdict);
    m_exchange.respond(m_head.status, out, m_answer);
    close();
}

void ForwardTask::deliverRecorded(const RecordedAnswer &answer)
{
    m_options.router.metrics.count("catkinloft_answers_replayed_total");
    m_exchange.respond(answer.status,
                       {{"Content-Type", answer.contentType},
                        {headers::RequestId, m_request.id},
                        {headers::Replayed, "true"},
                        {headers::Verdict, std::string(toString(Verdict::Ran))}},
                       answer.body);
    close();
}

void ForwardTask::report(bool succeeded, Verdict verdict, Reason reason)
{
    if (!std::exchange(m_placed, false))
        return;
    const TimePoint end = now();
    const TimePoint first = m_firstByte == TimePoint() ? end : m_firstByte;
    m_options.pool->finished(m_job.id,
                             {.succeeded = succeeded,
                              .verdict = verdict,
                              .reason = reason,
                              .untilFirstByte = first - m_started,
                              .total = end - m_started});
}

void ForwardTask::close()
{
    if (std::exchange(m_closed, true))
        return;
    m_call.reset();
    m_heartbeat.stop();
    m_exchange.onClosed(nullptr);
    m_exchange.onDrained(nullptr);
    m_options.closed(shared_from_this());
}

} // namespace catkinloft
