#pragma once

#include "Decide/Dispatcher.h"
#include "Decide/RequestQuarantine.h"
#include "Net/CrashWatch.h"
#include "Net/Forwarder.h"
#include "Net/StreamRelay.h"
#include "Request/ClaimManager.h"
#include "Request/ResumeToken.h"
#include "Request/VerdictRules.h"

namespace catkinloft {

/// \brief Forwards one request to one or more upstreams until the answer is complete or the caller
/// received the reason why there is none.
class ForwardTask : public std::enable_shared_from_this<ForwardTask>
{
public:
    struct Options
    {
        const Forwarder::Options &router;
        ClaimManager &claims;
        RequestQuarantine &quarantine;
        CrashWatch &crashes;
        std::size_t &buffered; ///< Bytes buffered for all callers of the process.
        Dispatcher *pool; ///< nullptr if the upstream is known already, as for a resumed stream.
        JobId job;
        RequestPtr request;
        HttpExchangePtr exchange;
        std::function<void(const std::shared_ptr<ForwardTask> &)> closed;
    };

    explicit ForwardTask(Options options);

    /// \brief Submits the request to the pool and sends it to the upstream that is assigned.
    void start();

    /// \brief Resumes the stream of \a token, whose connection to the caller broke.
    void resume(const ResumeToken &token, const std::string &engineAddress);

    const std::string &requestId() const { return m_request.id; }

private:
    // Placing and claiming.
    void placed(Result<Assignment> assignment);
    void claim();
    void claimed(const Result<ClaimManager::Grant> &grant);

    // The call.
    void send();
    HttpCall makeCall() const;
    void gotHead(const HttpHead &head);
    void gotData(std::string_view data);
    void ended(const Result<void> &result);
    Result<void> checkAnswer() const;
    void noteServed() const;
    void callerLeft();
    void heartbeat();

    // Streams.
    void openStream(const std::optional<StreamRelay::Source> &source, std::int64_t lastEventId);
    std::optional<StreamRelay::Source> streamSource() const;
    HttpHeaders streamHead() const;
    std::string resumeToken() const;
    void streamEnded(const Result<void> &result);

    // Requests that crash their upstreams.
    const std::string &fingerprint();
    std::string software() const;
    std::optional<Error> quarantineError();
    void checkForCrash(const Error &error);

    // Completion.
    void attemptFailed(const Error &error);
    void failed(const Error &error);
    bool mayRetry(const VerdictRule &rule, const Error &error);
    bool tryAnotherConnection(const Error &error);
    void refuse(Error error);
    void settleClaim();
    void deliver(Verdict verdict);
    void deliverRecorded(const RecordedAnswer &answer);
    void report(bool succeeded, Verdict verdict, Reason reason);
    void close();

    Repeatability repeatability() const;
    const Service *service() const { return m_request.inventory->service(m_request.service); }
    TimePoint now() const;

    Options m_options;
    RequestContext &m_request;
    HttpExchange &m_exchange;
    HttpHeaders m_headers; ///< Headers of the caller's request that are forwarded.
    Job m_job;
    bool m_placed = false; ///< The pool counts this request as running.
    Assignment m_assignment;
    ClaimPtr m_claim;
    /// Unique for each attempt, so that a late answer matches no other one.
    std::string m_upstreamId;
    HttpCallPtr m_call;
    HttpHead m_head;
    std::string m_answer;
    std::unique_ptr<StreamRelay> m_stream;
    Timer m_heartbeat;
    TimePoint m_started;
    TimePoint m_firstByte;
    std::string m_fingerprint; ///< Computed on first use.
    int m_crashedUpstreams = 0; ///< Upstreams that crashed during attempts of this request.
    bool m_freshConnection = false; ///< A pooled connection must not be used.
    bool m_direct = false; ///< The owner is draining: send to the engine directly.
    bool m_callerLeft = false;
    bool m_closed = false;
};

} // namespace catkinloft
