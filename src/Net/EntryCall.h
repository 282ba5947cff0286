#pragma once

#include "Base/EntrySettings.h"
#include "Base/Metrics.h"
#include "Base/Random.h"
#include "Decide/RequestQuarantine.h"
#include "Net/CrashWatch.h"
#include "Net/HttpClient.h"
#include "Net/HttpExchange.h"
#include "Net/RequestEvent.h"
#include "Net/ServicePools.h"
#include "Net/Timer.h"
#include "Net/WireCodec.h"
#include "Request/AttemptHistory.h"
#include "Request/EntryFilters.h"
#include "Request/EventOrder.h"
#include "Request/SseReader.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

class EventLoop;

/// \brief What all calls of a gateway share.
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
    std::function<int()> sharingRouters; ///< Routers that share the repeat budget.
    std::function<bool()> isShuttingDown; ///< The process is about to stop.
    /// Told of each prompt that is sent to a replica, which keeps it from then on.
    std::function<void(const std::string &replica, std::span<const PromptPart>)> promptSent = {};
    /// Told of each answer in which a replica says that it leaves, by its incarnation.
    std::function<void(const std::string &replica)> replicaLeaving = [](const std::string &) {};
    /// The same for whatever answers at an address where replica \a id was meant.
    std::function<void(const std::string &address, const std::string &id)> replicaLeavingAt =
            [](const std::string &, const std::string &) {};
    std::function<void()> replicaEjected = {}; ///< The other routers should hear of it at once.
    std::function<Duration()> proofAge = {}; ///< Of the configuration, for the log.
    std::function<void(const RequestEvent &)> report = logRequestEvent;
};

/// \brief One request from its arrival to its last byte: filtered, placed, sent, sent again where
/// that is allowed, and answered.
///
/// A request that may have run is never sent again unless it is idempotent, and is never answered
/// with a status that says that it has not run. An answer is only passed on if it names this
/// request and bears the replica's signature.
class EntryCall : public std::enable_shared_from_this<EntryCall>
{
public:
    /// \param done runs once, when nothing more will happen.
    EntryCall(EntryContext &context, HttpExchangePtr exchange, std::function<void()> done);
    ~EntryCall();
    EntryCall(const EntryCall &) = delete;
    EntryCall &operator=(const EntryCall &) = delete;

    void start();

    const std::string &id() const { return m_request.facts.id; }

private:
    void readRequest();
    void pickService();

    void attempt();
    void send(const ReplicaPool::Choice &choice);
    void reportSent(const ReplicaPool::Choice &choice) const;
    HttpCall composeCall(const std::string &copyFrom) const;
    Duration stallTimeout() const;
    Duration prefillTimeout() const; ///< That a sound engine may need for the prompt.
    HttpCallEvents attemptEvents();
    void noteFirstEvent();

    void onHead(const HttpHead &head);
    void onData(std::string_view data);
    void onEnd(Result<void> result);
    void failLater(Reason reason, std::string detail);

    void beginRelay();
    void relay(const SseEvent &event);
    void endRelay();

    void noteReplicaState();
    Duration retryDelay() const; ///< When a caller whose request nobody could take should.
    void noteLoad();
    void noteStaleConnection(const Error &error);
    void handleAnswer();
    void deliver();
    void attemptFailed(const Error &error);
    ReplicaPool::Choice chooseReplica();
    const std::string &fingerprint();
    std::optional<Error> quarantineError();
    bool mayHaveCrashedReplica(const Error &error) const;
    int suspicion(); ///< \sa RequestQuarantine::suspicion
    void checkForCrash(const Error &error);
    void crashChecked(const Error &error, bool crashed);
    /// \param verdict of the sending that failed.
    bool mayRetry(Verdict verdict);
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
    bool hasStalled() const;

    EntryContext &m_context;
    HttpExchangePtr m_exchange;
    std::function<void()> m_done;
    EntryRequest m_request;
    TimePoint m_deadline;
    Timer m_deadlineTimer;
    ServicePool *m_service = nullptr;
    std::string m_serviceName;

    HttpCallPtr m_call;
    unsigned m_attempt = 0; ///< Number of the attempt in progress; events of others are late.
    bool m_attempting = false;
    ReplicaRecord m_replica;
    std::string m_incarnation; ///< Of m_replica.
    TimePoint m_attemptStartedAt;
    TimePoint m_lastReceivedAt; ///< Last byte of this attempt's answer, or its beginning.
    std::optional<Duration> m_firstByte; ///< Of this attempt.
    Duration m_stallTimeout = Duration::zero(); ///< Silence after which its stream has stalled.
    bool m_receivedEvent = false; ///< Of this attempt's stream.
    bool m_isPromptUncached = false; ///< Nothing of the prompt is known to be kept there.
    AttemptHistory m_history;
    int m_crashedReplicas = 0; ///< Under attempts of this request.
    std::string m_fingerprint; ///< Empty until it is needed.
    Verdict m_verdict = Verdict::NotRun; ///< Over all ended attempts.

    HttpHead m_head;
    AnswerFacts m_answer;
    std::string m_body;
    SseReader m_reader;
    EventOrder m_order;
    bool m_relaying = false; ///< This attempt's events go to the caller.
    bool m_headSent = false; ///< The caller has got the head of the answer.
    bool m_finished = false;
};

} // namespace catkinloft
