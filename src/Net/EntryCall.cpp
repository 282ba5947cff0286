#include "Net/EntryCall.h"

#include "Base/Log.h"
#include "Net/AnswerVerdict.h"
#include "Net/EventLoop.h"
#include "Net/internal/TimerQueue.h"
#include "Request/Problem.h"
#include "Request/RequestFingerprint.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Opening a connection takes a round trip plus about a millisecond, so a replica that takes this
/// long is unreachable. The timeout is small because a call that has to be answered within 150 ms
/// must still reach another replica in time.
constexpr Duration ConnectTimeout = 150ms;

/// Time for which a replica is excluded after it refused a connection. Restarts take seconds.
constexpr Duration UnreachablePause = 1s;

/// Time for which a replica is excluded after it had no free slot for a request. Slots become free
/// within tens of milliseconds, and other routers send to the replica too.
constexpr Duration FullPause = 100ms;

/// Time for which an address is excluded after another replica answered there. The list of replicas
/// is updated within this time.
constexpr Duration MisdirectedPause = 3s;

/// Connections to other routers that were idle for longer are not reused.
constexpr Duration MaxRelayIdleAge = 5s;

/// Prompt parts of one request that are suspected. Prompts have a few; the limit bounds the records
/// that one request causes.
constexpr std::size_t MaxSuspectParts = 32;

/// Part of the caller's time that is reserved for returning the answer.
constexpr Duration AnswerReserve = 5ms;

/// Delay after which a caller may retry at another router.
constexpr Duration ShutdownRetryDelay = 10ms;

/// Delay after which a caller may retry if no replica was available, and the range of the random
/// delay added to it so that callers do not retry at the same time.
constexpr Duration RetryBase = 200ms;
constexpr Duration RetryJitter = 300ms;

bool isUnreachable(const Error &error)
{
    return error.reason == Reason::UpstreamUnreachable && error.verdict == Verdict::NotRun;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

EntryCall::EntryCall(EntryContext &context, HttpExchangePtr exchange, std::function<void()> done)
    : m_context(context), m_exchange(std::move(exchange)), m_done(std::move(done)),
      m_deadlineTimer(context.loop, [this] { deadlineExpired(); }), m_silence(context.loop),
      m_retries(context.metrics), m_admission(context.metrics)
{ }

EntryCall::~EntryCall() = default;

void EntryCall::start()
{
    readRequest();
    m_exchange->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerGone();
    });
    if (const Result<void> passed = m_context.filters.run(m_request); !passed) {
        if (passed.error().reason == Reason::MalformedRequest)
            m_exchange->closeAfterAnswer();
        return refuse(passed.error());
    }
    if (m_context.isShuttingDown()) {
        m_exchange->closeAfterAnswer();
        return refuse(shutdownError(Verdict::NotRun));
    }
    if (isStreaming() && m_request.route->resumable)
        m_order = EventOrder(m_request.facts.lastEventId);
    m_deadline = m_request.deadline();
    m_deadlineTimer.start(std::max<Duration>(1ms, m_deadline - m_context.loop.now()));
    pickService();
    if (isStreaming() && m_request.route->resumable && m_request.facts.lastEventId)
        return findOrigin();
    admitAndAttempt();
}

void EntryCall::admitAndAttempt()
{
    m_service->retryBudget.countRequest();
    if (const std::optional<Error> refused =
                m_admission.admit(m_service->admission, m_request, remaining()))
        return refuse(*refused);
    attempt();
}

void EntryCall::readRequest()
{
    m_request.receivedAt = m_context.loop.now();
    m_request.method = m_exchange->method();
    m_request.path = m_exchange->path();
    m_request.target = m_exchange->target();
    m_request.headers = m_exchange->headers();
    m_request.host = m_exchange->header("Host");
    m_request.facts = m_context.codec.decodeRequest(m_request.headers);
}

void EntryCall::pickService()
{
    const std::vector<RouteTarget> &targets = m_request.route->targets;
    double total = 0;
    for (const RouteTarget &it : targets)
        total += it.weight;
    double point = uniform(m_context.random) * total;
    m_serviceName = targets.back().service;
    for (const RouteTarget &it : targets) {
        if (point < it.weight) {
            m_serviceName = it.service;
            break;
        }
        point -= it.weight;
    }
    m_service = &m_context.pools.of(m_serviceName);
}

StreamOriginQuestion EntryCall::originQuestion() const
{
    const CallFacts &facts = m_request.facts;
    const std::string &id = facts.lastEventId ? facts.resumedId : facts.id;
    const std::string_view workspace =
            m_request.workspace ? m_request.workspace->name : std::string_view();
    StreamOriginQuestion out{.stream = id.empty() ? std::string()
                                                  : StreamOrigins::keyOf(workspace, id),
                             .window = m_request.route->timeout + StreamOrigins::ReturnTime};
    for (const RouteTarget &it : m_request.route->targets)
        out.services.push_back(it.service);
    return out;
}

void EntryCall::findOrigin()
{
    m_context.findStreamOrigin(originQuestion(),
                               [weak = weak_from_this()](const std::optional<std::string> &it) {
                                   const auto self = weak.lock();
                                   if (self && !self->m_finished)
                                       self->originFound(it);
                               });
}

void EntryCall::originFound(const std::optional<std::string> &software)
{
    if (!software)
        return refuse({.reason = Reason::StreamOriginUnknown,
                       .detail = fmt::format("no router knows which software began stream {}",
                                             jsonQuoted(m_request.facts.resumedId)),
                       .retryAfter = RetryBase});
    m_streamSoftware = software;
    // A route may have several services; the stream stays at the one that began it.
    const std::vector<RouteTarget> &targets = m_request.route->targets;
    const auto target = std::find_if(targets.begin(), targets.end(), [&](const RouteTarget &it) {
        return ReplicaRecord::isSoftwareOf(*software, it.service);
    });
    if (target != targets.end()) {
        m_serviceName = target->service;
        m_service = &m_context.pools.of(m_serviceName);
    }
    admitAndAttempt();
}

Duration EntryCall::remaining() const
{
    return std::min(m_deadline, m_context.stopsAt()) - m_context.loop.now() - AnswerReserve;
}

Error EntryCall::shutdownError(Verdict verdict) const
{
    return {.reason = Reason::Draining,
            .verdict = verdict,
            .detail = "this router is shutting down",
            .retryAfter = ShutdownRetryDelay};
}

void EntryCall::attempt()
{
    // What begins now might not end before the process does, and another router can run it.
    if (m_verdict == Verdict::NotRun && m_context.isShuttingDown()) {
        m_exchange->closeAfterAnswer();
        return refuse(shutdownError(Verdict::NotRun));
    }
    if (remaining() <= Duration::zero())
        return deadlineExpired();
    if (const Result<void> proven = m_context.filters.checkProof(m_request); !proven) {
        Error error = proven.error();
        error.verdict = combine(m_verdict, error.verdict);
        return m_headSent ? breakOff(error) : refuse(error);
    }
    if (const std::optional<Error> held = quarantineError())
        return m_headSent ? breakOff(*held) : refuse(*held);
    const ReplicaPool::Choice choice = RetryGate::choose(retryQuery());
    if (choice.replica)
        return send(choice);
    const Error error = m_service->refusal(m_streamSoftware ? *m_streamSoftware : m_serviceName,
                                           m_verdict, retryDelay());
    m_headSent ? breakOff(error) : refuse(error);
}

RetryGate::Query EntryCall::retryQuery()
{
    m_service->replicas.setRelaying(isRelayAvailable());
    return {.service = *m_service,
            .request = m_request,
            .history = m_history,
            .admission = m_admission,
            .remaining = remaining(),
            .sharingRouters = m_context.sharingRouters(),
            .crashedReplicas = m_crashedReplicas,
            .isSuspect = m_crashedReplicas > 0 && suspicion() > 1,
            .hasForwardedEvent = m_hasForwardedEvent,
            .software = m_streamSoftware,
            .blockedBy = attemptBlock()};
}

const std::vector<std::string> &EntryCall::suspects()
{
    if (!m_suspects.empty())
        return m_suspects;
    m_suspects.push_back(requestFingerprint(
            {.workspace = m_request.workspace ? m_request.workspace->name : std::string_view(),
             .host = m_request.host,
             .method = m_request.method,
             .target = m_request.target,
             .body = m_exchange->body()}));
    for (const PromptPart &it : m_request.sharedParts()) {
        if (m_suspects.size() <= MaxSuspectParts)
            m_suspects.push_back(RequestQuarantine::partKey(m_serviceName, it.id));
    }
    return m_suspects;
}

std::optional<Error> EntryCall::quarantineError()
{
    // The quarantine is usually empty; hashing the body is avoided then.
    if (!m_context.settings.mechanisms.requestQuarantine || m_context.quarantine.isEmpty()
        || !m_context.quarantine.isHeld(suspects()))
        return std::nullopt;
    const std::optional<RequestQuarantine::Hold> held =
            m_context.quarantine.admit(suspects(), m_service->replicas.software());
    if (!held)
        return std::nullopt;
    return Error{.reason = Reason::RequestQuarantined,
                 .verdict = m_verdict,
                 .detail = fmt::format(
                         "{} is quarantined: replicas {} crashed while they processed "
                         "requests with it",
                         fmt::join(held->suspects(), " with "), fmt::join(held->replicas, " ")),
                 .retryAfter = held->remaining,
                 .figures = {{"ended_replicas", static_cast<double>(held->replicas.size())}}};
}

bool EntryCall::mayHaveCrashedReplica(const Error &error) const
{
    // A replica that is leaving stops on purpose and breaks the requests still in progress.
    return m_context.settings.mechanisms.requestQuarantine && error.reason == Reason::UpstreamBroken
            && error.verdict != Verdict::NotRun && !m_relay
            && m_service->replicas.isServing(m_incarnation);
}

int EntryCall::suspicion()
{
    return m_context.quarantine.isEmpty() ? 0 : m_context.quarantine.suspicion(suspects());
}

CrashWatch::BrokenAttempt EntryCall::endCall()
{
    CrashWatch::BrokenAttempt out{.requestId = id(),
                                  .replica = m_incarnation,
                                  .replicaId = m_replica.id,
                                  .service = m_replica.service,
                                  .software = m_replica.software(),
                                  .address = m_replica.address,
                                  .sentAt = m_attemptStartedAt,
                                  .provenAt = m_service->paths.provenAt(m_incarnation)};
    if (m_call && m_call->idleTime() > Duration::zero())
        out.provenAt = m_attemptStartedAt;
    m_call.reset();
    if (m_service->replicas.isServing(m_incarnation))
        out.suspects = suspects();
    return out;
}

void EntryCall::checkForCrash(const Error &error)
{
    const auto criterion = suspicion() > 0 ? CrashWatch::AliveCriterion::StaysOpen
                                           : CrashWatch::AliveCriterion::Accepts;
    const bool isPartial = m_call && m_call->hasReceivedBytes();
    m_context.crashes.checkReplica(endCall(), criterion,
                                   [weak = weak_from_this(), number = m_attempt, error,
                                    isPartial](CrashWatch::State state) {
                                       const auto self = weak.lock();
                                       if (self && self->m_attempting && self->m_attempt == number)
                                           self->crashChecked(error, state, isPartial);
                                   });
}

void EntryCall::crashChecked(const Error &error, CrashWatch::State state, bool isPartial)
{
    const bool crashed = state == CrashWatch::State::Crashed;
    m_crashedReplicas += crashed ? 1 : 0;
    // A replica that runs and breaks off its answer has failed, like one with an invalid answer.
    const bool isFaulty = isPartial && state == CrashWatch::State::Alive;
    endAttempt(false, isFaulty ? Reason::UpstreamInvalid : error.reason, crashed);
    attemptFailed(error);
}

/// An answer without a length and chunks ends with its connection, as does that of a replica that
/// ends or of a lost path. Only a replica that is known to run has completed it.
void EntryCall::verifyEnd()
{
    m_context.metrics.count("catkinloft_unframed_answers_total");
    m_context.crashes.checkReplica(
            endCall(), CrashWatch::AliveCriterion::Proven,
            [weak = weak_from_this(), number = m_attempt](CrashWatch::State state) {
                const auto self = weak.lock();
                if (self && self->m_attempting && self->m_attempt == number)
                    self->endVerified(state);
            });
}

void EntryCall::endVerified(CrashWatch::State state)
{
    if (state == CrashWatch::State::Alive)
        return succeed();
    crashChecked(
            {.reason = Reason::UpstreamBroken,
             .verdict = Verdict::MayHaveRun,
             .detail = "an answer without a length ended, and its replica is not known to run"},
            state, true);
}

void EntryCall::send(const ReplicaPool::Choice &choice)
{
    m_replica = *choice.replica;
    m_incarnation = m_replica.incarnation();
    m_attemptStartedAt = m_context.loop.now();
    m_attemptRunningSince = m_context.loop.timers().runningNow();
    m_firstByte.reset();
    m_head = {};
    m_answer = {};
    m_body.clear();
    m_reader.reset();
    m_order.beginConnection();
    m_relaying = false;
    m_pace = {};
    m_attempting = true;
    ++m_attempt;
    m_silence.start(*m_request.route, prefillTimeout());
    m_retries.reset();
    m_relay.reset();
    m_relayFailure.reset();
    if (isRelayAvailable() && m_service->paths.isBroken(m_incarnation))
        m_relay = m_context.relay->choose(m_serviceName, m_replica.failureDomain);
    m_isPromptUncached = choice.cachedPromptTokens == 0 && !choice.copyFrom;
    m_history.sent(m_incarnation);
    const std::string copyFrom = choice.copyFrom ? choice.copyFrom->address : std::string();
    m_service->replicas.started(m_incarnation, m_request.sharedPrompt());
    if (!m_relay)
        m_service->silence.sent(m_incarnation);
    if (m_context.promptSent)
        m_context.promptSent(m_incarnation, m_request.sharedPrompt());
    HttpCall call = composeCall(copyFrom);
    if (m_relay) {
        call.maxIdleAge = MaxRelayIdleAge;
        call = m_context.relay->relayed(std::move(call), *m_relay,
                                        {.replica = m_incarnation, .suspects = suspects()});
    }
    if (!m_context.quarantine.isEmpty())
        m_context.quarantine.sent(suspects());
    m_call = m_context.client.send(std::move(call), attemptEvents());
    m_connection = m_call->connectionNumber();
    reportSent(choice);
}

bool EntryCall::isRelayAvailable() const
{
    return m_context.relay && m_service->paths.isPartitioned()
            && m_context.relay->isAvailable(m_serviceName);
}

bool EntryCall::isOnLostPath() const
{
    return !m_relay && m_service->paths.isPartitioned() && m_service->paths.isBroken(m_incarnation);
}

void EntryCall::checkSilence()
{
    if (!m_attempting || m_finished)
        return;
    const bool isDoubtful = !m_relay && m_silence.isPathDoubtful();
    const bool isLost = isDoubtful && isOnLostPath();
    if (isDoubtful && !isLost)
        m_service->paths.suspect(m_incarnation);
    if (const auto call = isDoubtful ? RetryGate::slowCall(silentAttempt()) : std::nullopt)
        m_service->slowCalls.watch(*call);
    if (isLost || (m_call && m_silence.isStalled()))
        replaceAttempt(isLost);
}

void EntryCall::replaceAttempt(bool isLost)
{
    // Otherwise it must not run twice, or the stream can't go on elsewhere; the answer may still
    // arrive.
    if (!m_request.route->isIdempotent() || !m_order.isResumable())
        return;
    const Error error{.reason = Reason::UpstreamTimeout,
                      .verdict = Verdict::MayHaveRun,
                      .detail =
                              isLost ? "no answer on a lost network path" : "the answer timed out"};
    const bool wasDenied = !m_retries.denial().empty();
    const ReplicaPool::Choice next = m_retries.permitReplacement(retryQuery(), silentAttempt());
    if (!next.replica) {
        if (!wasDenied)
            m_context.report(describe(RequestEvent::Kind::AttemptSilent, error));
        return;
    }
    m_context.report(describe(RequestEvent::Kind::AttemptFailed, error));
    m_context.metrics.retried(error.reason);
    m_verdict = combine(m_verdict, error.verdict);
    m_history.failedOn(m_incarnation);
    noteUnanswered(true);
    endAttempt(false, error.reason, isLost || hasRelayRefused());
    m_cause = AttemptCause::Retry;
    send(next);
}

/// Tells the retry budget of an attempt that is given up and may still arrive.
void EntryCall::noteUnanswered(bool isReplaced)
{
    if (m_attempting && !m_firstByte && (isReplaced || m_cause == AttemptCause::Retry))
        m_service->retryBudget.noteUnanswered();
}

std::string_view EntryCall::attemptBlock()
{
    if (!m_context.filters.checkProof(m_request))
        return "proof";
    // Only asks whether it is held: admitting a trial that is not sent would delay the next one.
    return m_context.settings.mechanisms.requestQuarantine && !m_context.quarantine.isEmpty()
                    && m_context.quarantine.isHeld(suspects())
            ? "quarantine"
            : "";
}

RetryGate::SilentAttempt EntryCall::silentAttempt() const
{
    const bool mayBeSlow =
            m_request.route->kind == CallKind::Idempotent && !m_firstByte && !isOnLostPath();
    return {.replica = m_incarnation,
            .stallLimit = m_silence.stallLimit(),
            .isRelayed = m_relay.has_value(),
            .isOnLostPath = isOnLostPath() && isRelayAvailable(),
            .callRoute = mayBeSlow ? m_request.route->name : std::string(),
            .time = m_silence.time()};
}

void EntryCall::reportSent(const ReplicaPool::Choice &choice) const
{
    m_context.metrics.count("catkinloft_attempts_total",
                            Metrics::label("cause", attemptCauseName(m_cause)));
    RequestEvent event = describe(RequestEvent::Kind::Sent);
    event.cause = attemptCauseName(m_cause);
    event.load = choice.load;
    event.version = m_replica.version;
    event.resumes = m_request.facts.resumedId;
    event.afterEvent = m_order.last();
    if (m_relay)
        event.relay = m_relay->name;
    event.meanLoad = choice.meanLoad;
    event.candidates = choice.candidates;
    event.cachedPromptTokens = choice.cachedPromptTokens;
    for (const PromptPart &it : m_request.sharedPrompt())
        event.promptTokens += it.tokens;
    if (choice.copyFrom)
        event.copiedFrom = choice.copyFrom->address;
    m_context.report(event);
}

HttpCall EntryCall::composeCall(const std::string &copyFrom) const
{
    const Route &route = *m_request.route;
    HttpCall out{
            .address = m_replica.address,
            .method = m_request.method,
            .target = m_request.target,
            .headers = m_context.codec.encodeRequest({.request = m_request,
                                                      .replica = m_replica,
                                                      .copyPromptFrom = copyFrom,
                                                      .remaining = remaining(),
                                                      .lastEventId = m_order.last(),
                                                      .priority = m_admission.statedPriority()}),
            .body = std::string(m_exchange->body()),
            .timeout = m_deadline - m_context.loop.now() + 1s, // m_deadlineTimer expires first.
            .connectTimeout = ConnectTimeout,
            .acceptsUnframed = true,
            .forwardsStream = isStreaming(),
            .answerId = {m_context.codec.requestIdHeader, id()}};
    out.maxIdleAge = m_service->connectionReuse.limit(route.isIdempotent());
    return out;
}

Duration EntryCall::prefillTimeout() const
{
    if (!m_context.settings.mechanisms.prefillTimeouts)
        return Duration::zero();
    return m_service->prefillEstimate.timeoutFor(m_request.facts.promptTokens);
}

/// \returns the time that the replica took. A stall of this process doesn't count: it would eject
/// healthy replicas and lower the limits of their service.
Duration EntryCall::attemptTime() const
{
    return std::max(Duration::zero(), m_context.loop.timers().runningNow() - m_attemptRunningSince);
}

void EntryCall::noteFirstEvent()
{
    m_admission.firstEvent();
    if (!m_silence.eventReceived() || !m_isPromptUncached)
        return;
    m_service->prefillEstimate.observe(m_request.facts.promptTokens, attemptTime());
}

HttpCallEvents EntryCall::attemptEvents()
{
    const auto guard = [weak = weak_from_this(), number = m_attempt](auto &&action) {
        const auto self = weak.lock();
        if (self && self->m_attempting && self->m_attempt == number)
            action(*self);
    };
    return {.onHead =
                    [guard](const HttpHead &head) {
                        guard([&](EntryCall &it) { it.onHead(head); });
                    },
            .onData =
                    [guard](std::string_view data) {
                        guard([&](EntryCall &it) { it.onData(data); });
                    },
            .onEnd =
                    [guard](Result<void> result) {
                        guard([&](EntryCall &it) { it.onEnd(std::move(result)); });
                    }};
}

void EntryCall::noteReceived()
{
    m_silence.received();
    if (m_relay)
        return;
    m_service->silence.received(m_incarnation);
    m_service->slowCalls.received(m_incarnation);
}

void EntryCall::onHead(const HttpHead &head)
{
    noteReceived();
    if (m_relay)
        m_relayFailure = RelayCodec::decodeFailure(head);
    if (m_relayFailure)
        return;
    m_firstByte = attemptTime();
    m_head = head;
    m_answer = m_context.codec.decodeAnswer(head);
    if (head.status == MisdirectedStatus)
        m_answer.load.reset(); // Another replica answered, which may be of another service.
    m_admission.headReceived(m_incarnation, m_answer, head.status);
    if (m_answer.load)
        m_service->replicas.loadReported(m_incarnation, *m_answer.load);
    if (!m_relay && m_call && m_call->idleTime() == Duration::zero())
        m_service->pathRegained(m_incarnation,
                                head.status == MisdirectedStatus ? PathMonitor::Listener::Unknown
                                                                 : PathMonitor::Listener::Replica);
    noteReplicaState();
    if (!m_answer.requestId.empty() && m_answer.requestId != m_request.facts.id)
        return failLater(Reason::AnswerMismatch, "the answer carries the id of another request");
    if (!isSuccess(head.status))
        return;
    if (!m_answer.isSigned)
        return failLater(Reason::AnswerMismatch, "the answer is not signed by its replica");
    if (!head.header("Content-Encoding").empty())
        return failLater(Reason::AnswerMismatch,
                         "the answer has a content encoding that was not requested");
    m_relaying = isStreaming();
}

/// The state that a replica reports about itself is valid even if the answer is rejected. It is
/// applied before the answer is complete, so that requests sent meanwhile respect it.
void EntryCall::noteReplicaState()
{
    const bool isAnother = m_head.status == MisdirectedStatus;
    if (m_answer.isLeaving && !isAnother)
        m_context.replicaLeaving(m_incarnation);
    if (m_answer.isLeaving && isAnother)
        m_context.replicaLeavingAt(m_replica.address, m_replica.id);
    if (!m_answer.pause || isAnother)
        return;
    m_service->replicas.excludeFor(m_incarnation, *m_answer.pause);
    m_context.metrics.count("catkinloft_replica_pauses_total");
    Log::info("replica_pauses",
              {{"request_id", id()},
               {"service", m_serviceName},
               {"replica", m_replica.id},
               {"for_ms", *m_answer.pause / 1ms}});
}

Duration EntryCall::retryDelay() const
{
    return std::max(RetryBase, m_service->replicas.timeUntilAvailable());
}

void EntryCall::failLater(Reason reason, std::string detail)
{
    // The connection must not be destroyed from within its own callback.
    m_context.loop.post([weak = weak_from_this(), number = m_attempt, reason,
                         detail = std::move(detail)] {
        const auto self = weak.lock();
        if (!self || !self->m_attempting || self->m_attempt != number)
            return;
        self->onEnd(Error{.reason = reason, .verdict = Verdict::MayHaveRun, .detail = detail});
    });
    m_relaying = false;
    m_head.status = 0;
}

void EntryCall::onData(std::string_view data)
{
    noteReceived();
    if (m_relaying) {
        noteFirstEvent();
        if (!m_reader.feed(data, [this](const SseEvent &event) { relay(event); }))
            failLater(Reason::UpstreamInvalid, "an event of the stream is longer than the limit");
        else if (m_call && !m_call->hold(m_reader.bufferedBytes()))
            failLater(Reason::UpstreamInvalid,
                      "an event of the stream is longer than the memory that is left for answers");
    } else if (m_head.status != 0) {
        m_body += data;
    }
}

/// The head waits for the first event: until then a failure can still be answered.
void EntryCall::sendHead()
{
    if (std::exchange(m_headSent, true))
        return;
    m_exchange->onDrained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || !self->m_call)
            return;
        self->m_silence.setPaused(false);
        self->m_call->resume();
    });
    m_exchange->beginStream(m_head.status, m_context.codec.passedAnswerHeaders(m_head));
}

void EntryCall::relay(const SseEvent &event)
{
    if (!m_relaying)
        return; // An earlier event of the same chunk ended the attempt.
    m_pace.add(m_context.loop.now());
    const std::optional<std::int64_t> last = m_order.last();
    switch (m_order.take(event.id, event.hasData)) {
    case EventOrder::Disposition::Deliver:
        break;
    case EventOrder::Disposition::Skip:
        return;
    case EventOrder::Disposition::Gap:
        return failLater(Reason::UpstreamBroken,
                         fmt::format("the stream was to resume after event {} and began with {}",
                                     *last, *event.id));
    case EventOrder::Disposition::Disorder:
        return failLater(Reason::UpstreamBroken,
                         fmt::format("event {} came after a later one; the last delivered is {}",
                                     *event.id, *last));
    }
    bindToSoftware();
    sendHead();
    m_exchange->write(event.text);
    if (m_call && m_exchange->backlog() > m_context.settings.maxStreamBuffer) {
        m_silence.setPaused(true);
        m_call->pause();
    }
}

/// The caller can resume a stream from its first event on.
void EntryCall::bindToSoftware()
{
    if (std::exchange(m_hasForwardedEvent, true) || !m_request.route->resumable)
        return;
    m_streamSoftware = m_replica.software();
    const StreamOriginQuestion question = originQuestion();
    if (question.stream.empty())
        return;
    const Duration left = m_deadline - m_context.loop.now();
    m_context.streamBegan({.stream = question.stream,
                           .software = *m_streamSoftware,
                           .lifetime = left + StreamOrigins::ReturnTime},
                          question);
}

void EntryCall::endRelay()
{
    if (const std::optional<Duration> pace = m_pace.mean())
        m_service->replicas.eventTimeObserved(m_incarnation, *pace);
    sendHead();
    m_exchange->end();
    finish(RequestEvent::Kind::Answered, m_head.status, nullptr);
}

void EntryCall::endAttempt(bool succeeded, Reason reason, bool ignoredForHealth)
{
    if (!std::exchange(m_attempting, false))
        return;
    m_call.reset();
    if (!m_relay)
        m_service->silence.ended(m_incarnation);
    const Duration total = attemptTime();
    const bool ejected =
            m_service->replicas.finished(m_incarnation,
                                         {.succeeded = succeeded,
                                          .reason = reason,
                                          .untilFirstByte = m_firstByte.value_or(total),
                                          .total = total,
                                          .ignoredForHealth = ignoredForHealth});
    if (ejected && m_context.replicaEjected)
        m_context.replicaEjected();
}

void EntryCall::onEnd(Result<void> result)
{
    if (m_relayFailure)
        result = m_relayFailure->error;
    if (result && m_relaying && m_reader.hasPartialEvent())
        result = Error{.reason = Reason::UpstreamBroken,
                       .verdict = Verdict::MayHaveRun,
                       .detail = "the stream ended within an event"};
    if (!result) {
        Error error = std::move(result.error());
        if (m_relay)
            return relayFailed(error);
        noteStaleConnection(error);
        if (mayHaveCrashedReplica(error))
            return checkForCrash(error);
        endAttempt(false, error.reason, isOnLostPath());
        return attemptFailed(error);
    }
    m_head.isUnframed &&isSuccess(m_head.status) ? verifyEnd() : succeed();
}

void EntryCall::succeed()
{
    m_admission.callAnswered({.replica = m_incarnation,
                              .facts = m_answer,
                              .status = m_head.status,
                              .latency = attemptTime(),
                              .target = m_request.route->targetLatency,
                              .usableReplicas = m_service->replicas.usableCount()});
    if (isSuccess(m_head.status) && !m_context.quarantine.isEmpty())
        m_context.quarantine.completed(suspects());
    if (isSuccess(m_head.status) && m_request.route->kind == CallKind::Idempotent)
        m_service->slowCalls.answered(m_request.route->name, m_firstByte.value_or(attemptTime()));
    const bool failed = m_head.status >= 500 && !m_answer.notExecuted;
    endAttempt(!failed, failed ? Reason::UpstreamBroken : Reason::Internal, m_history.count() > 1);
    m_relaying ? endRelay() : handleAnswer();
}

void EntryCall::noteStaleConnection(const Error &error)
{
    const Duration idleTime = m_call ? m_call->idleTime() : Duration::zero();
    if (error.reason != Reason::UpstreamBroken || m_firstByte
        || !m_service->connectionReuse.reportBroken(idleTime,
                                                    m_context.loop.now() - m_attemptStartedAt))
        return;
    m_context.metrics.count("catkinloft_forgotten_connections_total");
    Log::info("idle_connection_forgotten",
              {{"request_id", id()},
               {"service", m_serviceName},
               {"replica", m_replica.id},
               {"rested_ms", idleTime / 1ms},
               {"trusted_ms", m_service->connectionReuse.limit(false) / 1ms}});
}

void EntryCall::handleAnswer()
{
    const bool misdirected = m_head.status == MisdirectedStatus;
    const Verdict verdict = answerVerdict(m_answer, m_head.status, id());
    const bool isProven = verdict == Verdict::NotRun;
    if (isProven || (m_answer.notExecuted && !misdirected))
        m_service->replicas.excludeFor(m_incarnation, misdirected ? MisdirectedPause : FullPause);
    if (isProven && misdirected)
        m_history.didNotArrive(m_incarnation);
    if (verdict != Verdict::Ran)
        return attemptFailed(
                {.reason = Reason::UpstreamRefused,
                 .verdict = verdict,
                 .detail = fmt::format("replica {} {} the request: status {}", m_replica.id,
                                       isProven ? "did not run" : "refused without proof",
                                       m_head.status)});
    m_verdict = Verdict::Ran;
    // If the request cannot be retried, this error answer is delivered: it is better than none.
    const bool mayRepeat =
            m_head.status >= 500 && m_request.route->isIdempotent() && m_order.isResumable();
    const ReplicaPool::Choice next = mayRepeat
            ? m_retries.permitAfterAnswer(retryQuery(), m_incarnation)
            : ReplicaPool::Choice();
    if (next.replica) {
        m_context.report(describe(
                RequestEvent::Kind::AttemptFailed,
                {.reason = Reason::UpstreamBroken,
                 .verdict = Verdict::Ran,
                 .detail = fmt::format("replica {} answered {}", m_replica.id, m_head.status)}));
        m_history.failedOn(m_incarnation);
        m_cause = AttemptCause::Retry;
        return send(next);
    }
    if (m_headSent) // Part of a stream was delivered by an earlier attempt.
        return breakOff({.reason = Reason::UpstreamBroken,
                         .verdict = m_verdict,
                         .detail = fmt::format("replica {} answered {}, so that the stream can't "
                                               "be resumed there",
                                               m_replica.id, m_head.status)});
    m_exchange->respond(m_head.status, m_context.codec.passedAnswerHeaders(m_head), m_body);
    finish(RequestEvent::Kind::Answered, m_head.status, nullptr);
}

void EntryCall::attemptFailed(const Error &error)
{
    const bool unreachable =
            error.verdict == Verdict::NotRun && (hasRelayRefused() || isUnreachable(error));
    const bool safe = (error.verdict == Verdict::NotRun || m_request.route->isIdempotent())
            && m_order.isResumable();
    m_retries.reset();
    if (!safe)
        m_retries.denyRepeat();
    const bool isRetried = !unreachable && safe && m_retries.permit(retryQuery(), error.verdict);
    m_context.report(describe(RequestEvent::Kind::AttemptFailed, error));
    m_context.metrics.retried(error.reason);
    m_verdict = combine(m_verdict, error.verdict);
    if (!hasRelayRefused())
        m_history.failedOn(m_incarnation);
    if (unreachable) {
        noteUnreachable();
        m_cause = AttemptCause::Undelivered;
        if (m_history.wasUnreachable(m_incarnation))
            return attempt();
    }
    m_cause = AttemptCause::Retry;
    if (isRetried)
        return attempt();
    if (m_crashedReplicas > 0) {
        if (const std::optional<Error> held = quarantineError())
            return m_headSent ? breakOff(*held) : refuse(*held);
    }
    Error last = error;
    last.verdict = m_verdict;
    if (last.verdict == Verdict::NotRun)
        last.retryAfter = retryDelay();
    m_headSent ? breakOff(last) : refuse(last);
}

void EntryCall::noteUnreachable()
{
    if (hasRelayRefused())
        return;
    if (m_relay) {
        if (m_context.relay->isUnreachableToo(m_relay->name, m_incarnation))
            m_service->replicas.excludeFor(m_incarnation, UnreachablePause);
        return;
    }
    m_service->replicas.noteUnreachable(m_incarnation, UnreachablePause);
    m_service->pathLost(m_incarnation);
    m_context.client.dropIdle(m_replica.address);
}

bool EntryCall::hasRelayRefused() const
{
    return m_relay && !m_firstByte && !(m_relayFailure && m_relayFailure->isReplicaAtFault);
}

void EntryCall::relayFailed(const Error &error)
{
    // A timeout doesn't show which of the two hops is silent.
    if (hasRelayRefused() && error.reason != Reason::UpstreamTimeout)
        m_context.relay->noteFailed(m_relay->name);
    if (m_relayFailure && m_relayFailure->hasReplicaCrashed)
        ++m_crashedReplicas;
    endAttempt(false, error.reason, hasRelayRefused());
    attemptFailed(error);
}

void EntryCall::deadlineExpired()
{
    if (m_finished)
        return;
    // A request that was sent and not answered may be running.
    const Verdict verdict = m_attempting ? Verdict::MayHaveRun : m_verdict;
    if (m_attempting && m_cause == AttemptCause::Retry) {
        if (const auto call = RetryGate::slowCall(silentAttempt()))
            m_service->slowCalls.expired(*call);
    }
    noteUnanswered(false);
    endAttempt(false, Reason::UpstreamTimeout,
               (isStreaming() && !m_silence.isStalled()) || hasOtherCause());
    const Error error{.reason = Reason::DeadlineExpired,
                      .verdict = verdict,
                      .detail = "no complete answer by the deadline",
                      .retryAfter = RetryBase};
    m_headSent ? breakOff(error) : refuse(error);
}

void EntryCall::stop()
{
    if (m_finished)
        return;
    const Error error = shutdownError(m_attempting ? Verdict::MayHaveRun : m_verdict);
    endAttempt(false, error.reason, true);
    m_exchange->closeAfterAnswer();
    m_headSent ? breakOff(error) : refuse(error);
}

void EntryCall::startFailed()
{
    // An attempt that was sent ends by its answer or the deadline.
    if (m_finished || m_call)
        return;
    const Error error{.reason = Reason::Internal,
                      .verdict = m_attempting ? Verdict::MayHaveRun : m_verdict,
                      .detail = "handling the request failed"};
    endAttempt(false, error.reason, true);
    refuse(error);
}

/// \returns whether the silence has another cause than its replica: the path, a stall of this
/// process, or one that most replicas share.
bool EntryCall::hasOtherCause() const
{
    const Duration elapsed = m_context.loop.now() - m_attemptStartedAt;
    return isOnLostPath() || elapsed - attemptTime() >= EventLoop::MinStall
            || RetryGate::isSilentTogether(*m_service, silentAttempt());
}

bool EntryCall::isStreaming() const
{
    return m_request.route && m_request.route->kind == CallKind::Streaming;
}

void EntryCall::callerGone()
{
    if (m_finished)
        return;
    // Callers leave a stream that stalls for two seconds or more.
    const bool isAtFault = isStreaming() && m_silence.isStalled() && !hasOtherCause();
    noteUnanswered(false);
    endAttempt(false, isAtFault ? Reason::UpstreamTimeout : Reason::CallerGone);
    finish(RequestEvent::Kind::CallerGone, 0, nullptr);
}

void EntryCall::refuse(const Error &error)
{
    const int status = Problem::status(error);
    HttpHeaders headers = m_context.codec.ownAnswerHeaders(m_request);
    headers.emplace_back("Content-Type", "application/problem+json");
    // A request that crashes replicas must not be retried at once, even if it may have run.
    const bool isHeld = error.reason == Reason::RequestQuarantined;
    if ((status == 503 || isHeld) && error.retryAfter) {
        // The time after which an overloaded service may be tried again is random already.
        const Duration spread = error.reason == Reason::EnginesSaturated
                ? Duration::zero()
                : scaled(RetryJitter, uniform(m_context.random));
        headers.emplace_back("Retry-After",
                             Problem::retryAfterFraction(*error.retryAfter + spread));
    }
    m_context.metrics.refused(error.reason);
    m_exchange->respond(status, headers, Problem::body(error, id(), {}));
    finish(RequestEvent::Kind::Refused, status, &error);
}

void EntryCall::breakOff(const Error &error)
{
    m_context.metrics.refused(error.reason);
    m_exchange->abort();
    finish(RequestEvent::Kind::BrokenOff, 0, &error);
}

RequestEvent EntryCall::describe(RequestEvent::Kind kind) const
{
    const TimePoint now = m_context.loop.now();
    RequestEvent out{.kind = kind,
                     .requestId = id(),
                     .service = m_serviceName,
                     .elapsed = now - m_request.receivedAt,
                     .attempt = m_history.count(),
                     .replica = m_replica.id,
                     .address = m_replica.address,
                     .connection = m_connection};
    if (m_request.route) {
        out.route = m_request.route->name;
        out.revision = m_request.routes->config().revision;
        out.remaining = m_deadline - now;
    }
    if (m_request.workspace)
        out.workspace = m_request.workspace->name;
    if (m_context.proofAge)
        out.proofAge = m_context.proofAge();
    return out;
}

RequestEvent EntryCall::describe(RequestEvent::Kind kind, const Error &error) const
{
    RequestEvent out = describe(kind);
    out.reason = error.reason;
    out.verdict = error.verdict;
    out.retryAfter = error.retryAfter;
    out.detail = error.detail;
    out.retryDenied = m_retries.denial();
    if (m_service) {
        out.busyReplicas = m_service->silence.busyReplicas();
        out.silentReplicas = m_service->silence.silentReplicas(AttemptSilence::CallPathLimit);
    }
    if (error.reason == Reason::RequestQuarantined && !m_suspects.empty())
        out.fingerprint = m_suspects.front();
    for (const Figure &it : error.figures)
        out.detail += fmt::format("; {} {}", it.name, it.value);
    return out;
}

void EntryCall::finish(RequestEvent::Kind outcome, int status, const Error *error)
{
    if (std::exchange(m_finished, true))
        return;
    m_deadlineTimer.stop();
    m_admission.end();
    RequestEvent event = error ? describe(outcome, *error) : describe(outcome);
    event.status = status;
    event.isUnframed = m_head.isUnframed;
    if (!error)
        event.verdict = outcome == RequestEvent::Kind::Answered ? Verdict::Ran : m_verdict;
    m_context.metrics.count("catkinloft_requests_total",
                            Metrics::label("outcome", requestEventName(outcome)));
    m_context.metrics.observe("catkinloft_request_seconds", toSeconds(event.elapsed));
    m_context.report(event);
    m_context.loop.post([self = shared_from_this()] { self->m_done(); });
}

} // namespace catkinloft
