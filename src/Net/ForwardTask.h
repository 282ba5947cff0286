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

/// \brief One request on its way through one or more upstreams, until its answer is whole or the
/// caller was told why there is none.
class ForwardTask : public std::enable_shared_from_this<ForwardTask>
{
public:
    struct Options
    {
        const Forwarder::Options &router;
        ClaimManager &claims;
        RequestQuarantine &quarantine;
        CrashWatch &crashes;
        std::size_t &buffered; ///< Bytes held for all callers of the process.
        Dispatcher *pool; ///< nullptr where the upstream is known, as for a resumed stream.
        JobId job;
        RequestPtr request;
        HttpExchangePtr exchange;
        std::function<void(const std::shared_ptr<ForwardTask> &)> closed;
    };

    explicit ForwardTask(Options options);

    /// \brief Asks for a place and goes on from there.
    void start();

    /// \brief Takes up the stream of \a token, which another connection lost.
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

    // Requests that end their upstreams.
    const std::string &fingerprint();
    std::string software() const;
    std::optional<Error> quarantineError();
    void checkForCrash(const Error &error);

    // The end.
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
    HttpHeaders m_headers; ///< Of the caller's request, to be passed on.
    Job m_job;
    bool m_placed = false; ///< The pool counts this request as running.
    Assignment m_assignment;
    ClaimPtr m_claim;
    std::string m_upstreamId; ///< One for each attempt, so that a late answer fits no other.
    HttpCallPtr m_call;
    HttpHead m_head;
    std::string m_answer;
    std::unique_ptr<StreamRelay> m_stream;
    Timer m_heartbeat;
    TimePoint m_started;
    TimePoint m_firstByte;
    std::string m_fingerprint; ///< Empty until it is needed.
    int m_crashedUpstreams = 0; ///< Under attempts of this request.
    bool m_freshConnection = false; ///< A pooled one was silent.
    bool m_direct = false; ///< The owner is draining: go to the engine without it.
    bool m_callerLeft = false;
    bool m_closed = false;
};

} // namespace catkinloft
