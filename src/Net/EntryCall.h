#pragma once

#include "Base/EntrySettings.h"
#include "Base/Metrics.h"
#include "Base/Random.h"
#include "Control/StreamOriginCodec.h"
#include "Decide/AttemptSilence.h"
#include "Decide/RequestQuarantine.h"
#include "Net/CrashWatch.h"
#include "Net/EntryAdmission.h"
#include "Net/HttpClient.h"
#include "Net/HttpExchange.h"
#include "Net/RelayClient.h"
#include "Net/RequestEvent.h"
#include "Net/RetryGate.h"
#include "Net/ServicePools.h"
#include "Net/Timer.h"
#include "Net/WireCodec.h"
#include "Request/AttemptHistory.h"
#include "Request/EntryFilters.h"
#include "Request/EventOrder.h"
#include "Request/EventPace.h"
#include "Request/SseReader.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

class EventLoop;

/// \brief Objects and callbacks that all calls of a gateway share.
struct EntryContext
{
    EventLoop &loop;
    HttpClient &client;
    Metrics &metrics;
    const EntrySettings &settings;
    const WireCodec &codec;
    const EntryFilters &filters;
    ServicePools &pools;
    RequestQuarantine &quarantine;
    CrashWatch &crashes;
    RandomSource random;
    std::function<int()> sharingRouters; ///< Routers that share the retry budget.
    std::function<bool()> isShuttingDown; ///< Whether new requests are refused.
    /// When the process ends; TimePoint::max() unless it is shutting down.
    std::function<TimePoint()> stopsAt = [] { return TimePoint::max(); };
    /// Called for each prompt that is sent to a replica, which caches it from then on.
    std::function<void(const std::string &replica, std::span<const PromptPart>)> promptSent = {};
    /// Called with the incarnation of a replica whose answer states that it is leaving.
    std::function<void(const std::string &replica)> replicaLeaving = [](const std::string &) {};
    /// Called when a process other than replica \a id answers at \a address that it is leaving.
    std::function<void(const std::string &address, const std::string &id)> replicaLeavingAt =
            [](const std::string &, const std::string &) {};
    /// Announces the ejection to the other routers at once.
    std::function<void()> replicaEjected = {};
    /// Finds the software that began a stream which the caller resumes. \sa StreamOriginTask::find
    std::function<void(const StreamOriginQuestion &,
                       std::function<void(std::optional<std::string> software)> found)>
            findStreamOrigin =
                    [](const StreamOriginQuestion &, const auto &found) { found(std::nullopt); };
    /// Called when the first event of a resumable stream is forwarded to its caller.
    std::function<void(const StreamOrigin &, const StreamOriginQuestion &)> streamBegan =
            [](const StreamOrigin &, const StreamOriginQuestion &) {};
    RelayClient *relay = nullptr; ///< Null: requests are only sent directly.
    std::function<Duration()> proofAge = {}; ///< Proof age of the configuration, for the log.
    std::function<void(const RequestEvent &)> report = logRequestEvent;
};

/// \brief Handles one request from its arrival to the last byte of its answer: filters it, chooses
/// a replica, sends it, retries it where that is allowed, and answers the caller.
///
/// A request that may have run is never retried unless it is idempotent, and is never answered
/// with a status that states that it did not run. An answer is forwarded only if it carries the id
/// of this request and the signature of the replica.
class EntryCall : public std::enable_shared_from_this<EntryCall>
{
public:
    /// \param done is called once, when the call is finished.
    EntryCall(EntryContext &context, HttpExchangePtr exchange, std::function<void()> done);
    ~EntryCall();
    EntryCall(const EntryCall &) = delete;
    EntryCall &operator=(const EntryCall &) = delete;

    void start();

    /// \brief Requests a check of the network path if the replica is silent for long. If the path
    /// is lost or the answer has stalled, sends the request to another replica if that may begin;
    /// otherwise the attempt goes on.
    void checkSilence();

    /// \brief Answers the caller because the process ends, or breaks off a stream.
    void stop();

    /// \brief Answers the caller if start() has failed before it sent the request.
    void startFailed();

    const std::string &id() const { return m_request.facts.id; }

private:
    void readRequest();
    void pickService();
    StreamOriginQuestion originQuestion() const;
    void findOrigin();
    void originFound(const std::optional<std::string> &software);
    void admitAndAttempt();

    void attempt();
    Error shutdownError(Verdict verdict) const;
    void send(const ReplicaPool::Choice &choice);
    void reportSent(const ReplicaPool::Choice &choice) const;
    HttpCall composeCall(const std::string &copyFrom) const;
    Duration attemptTime() const;
    bool hasOtherCause() const;
    Duration prefillTimeout() const; ///< Time that a healthy engine may take to process the prompt.
    HttpCallEvents attemptEvents();
    void noteFirstEvent();

    void noteReceived();
    void onHead(const HttpHead &head);
    void onData(std::string_view data);
    void onEnd(Result<void> result);
    void failLater(Reason reason, std::string detail);

    void sendHead();
    void relay(const SseEvent &event);
    void bindToSoftware();
    void endRelay();

    void noteReplicaState();
    Duration retryDelay() const; ///< Time until a caller may retry if no replica was available.
    void noteStaleConnection(const Error &error);
    void handleAnswer();
    void attemptFailed(const Error &error);
    void noteUnreachable();
    /// \returns whether the router that was to relay this attempt refused to, or failed before it
    /// passed an answer on.
    bool hasRelayRefused() const;
    void relayFailed(const Error &error);
    bool isRelayAvailable() const;
    bool isOnLostPath() const;
    RetryGate::Query retryQuery();
    /// \returns what denies any attempt at this moment, as in log lines; empty if nothing does.
    std::string_view attemptBlock();
    RetryGate::SilentAttempt silentAttempt() const;
    /// \brief Sends the request to another replica, and ends the attempt, if that is permitted.
    /// \param isLost whether the path to the replica is lost.
    void replaceAttempt(bool isLost);
    void noteUnanswered(bool isReplaced);
    const std::vector<std::string> &suspects();
    std::optional<Error> quarantineError();
    bool mayHaveCrashedReplica(const Error &error) const;
    int suspicion(); ///< \sa RequestQuarantine::suspicion
    CrashWatch::BrokenAttempt endCall(); ///< \returns the attempt that it belongs to.
    void checkForCrash(const Error &error);
    void crashChecked(const Error &error, CrashWatch::State state, bool isPartial);
    void verifyEnd();
    void endVerified(CrashWatch::State state);
    void succeed();
    /// \param ignoredForHealth \sa AttemptReport::ignoredForHealth
    void endAttempt(bool succeeded, Reason reason, bool ignoredForHealth = false);

    void deadlineExpired();
    void callerGone();
    void refuse(const Error &error);
    void breakOff(const Error &error);
    void finish(RequestEvent::Kind outcome, int status, const Error *error);
    RequestEvent describe(RequestEvent::Kind kind) const;
    RequestEvent describe(RequestEvent::Kind kind, const Error &error) const;

    Duration remaining() const;
    bool isStreaming() const;

    EntryContext &m_context;
    HttpExchangePtr m_exchange;
    std::function<void()> m_done;
    EntryRequest m_request;
    TimePoint m_deadline;
    Timer m_deadlineTimer;
    ServicePool *m_service = nullptr;
    std::string m_serviceName;

    HttpCallPtr m_call;
    std::uint64_t m_connection = 0; ///< Number of the connection of the current or last attempt.
    unsigned m_attempt = 0; ///< Number of the current attempt; events of earlier ones are ignored.
    bool m_attempting = false;
    ReplicaRecord m_replica;
    std::optional<RelayPeer> m_relay; ///< Router that relays this attempt.
    std::optional<RelayFailure> m_relayFailure; ///< Why the router did not relay it.
    std::string m_incarnation; ///< Incarnation of m_replica.
    TimePoint m_attemptStartedAt;
    TimePoint m_attemptRunningSince; ///< The start by TimerQueue::runningNow().
    std::optional<Duration> m_firstByte; ///< Time from the start of this attempt to its first byte.
    AttemptSilence m_silence;
    bool m_isPromptUncached = false; ///< The replica is not known to cache any part of the prompt.
    AttemptHistory m_history;
    AttemptCause m_cause = AttemptCause::First; ///< Of the current or the next attempt.
    RetryGate m_retries;
    int m_crashedReplicas = 0; ///< Replicas that crashed during attempts of this request.
    /// \sa RequestQuarantine::Suspects. Computed on first use.
    std::vector<std::string> m_suspects;
    EntryAdmission m_admission;
    Verdict m_verdict = Verdict::NotRun; ///< Combined verdict of all finished attempts.

    HttpHead m_head;
    AnswerFacts m_answer;
    std::string m_body;
    SseReader m_reader;
    EventOrder m_order;
    EventPace m_pace; ///< Of the stream of this attempt.
    /// Software that delivered the first event of the stream; only it may continue the stream.
    std::optional<std::string> m_streamSoftware;
    bool m_hasForwardedEvent = false;
    bool m_relaying = false; ///< Events of this attempt are forwarded to the caller.
    bool m_headSent = false; ///< The head of the answer was sent to the caller.
    bool m_finished = false;
};

} // namespace catkinloft
