#pragma once

#include "Base/Random.h"
#include "Net/EventLoop.h"
#include "fleet/AnswerCheck.h"
#include "fleet/Fleet.h"
#include "fleet/LoadReport.h"

#include <set>

namespace catkinloft::standin {

enum class RequestShape { StreamedChat, NonStreamedChat, IdempotentCall, NonIdempotentCall };

/// \brief State that all callers of a LoadDriver share.
struct CallerContext
{
    const Fleet &fleet;
    EventLoop &loop;
    HttpClient &client;
    RandomSource random;
    LoadReport &report;
    Duration answerTimeout = std::chrono::seconds(8); ///< Of one attempt.
    Duration requestTimeout = std::chrono::seconds(25); ///< Of a request with all its attempts.
    Duration maxPause = std::chrono::milliseconds(200); ///< Between two requests of a caller.
    int maxTokens = 20;
    std::set<std::string> sent = {}; ///< Request ids of all attempts.
    std::set<std::string> reportedNotRun = {}; ///< Request ids of attempts with verdict `not_run`.
    std::set<std::string> answeredOperations = {};
    std::set<std::string> nonIdempotentOperations = {}; ///< Must not be executed twice.
};

/// \brief Simulates a caller that sends one request after another with pauses. It asks a router
/// which address to use, caches the answer for its lifetime and retries by the documented rules.
class Caller : public std::enable_shared_from_this<Caller>
{
public:
    struct Options
    {
        std::string name;
        int workspace = 0;
        RequestShape shape = RequestShape::NonStreamedChat;
        int requests = 1;
        std::function<void()> done;
    };

    Caller(CallerContext &context, Options options);

    void start();

private:
    void next();
    void attempt();
    void resolveAddress();
    void send();
    HttpCall makeCall();
    std::string chatBody() const;
    void answered(const Result<HttpAnswer> &answer);
    void succeeded(const HttpAnswer &answer);
    void refused(const HttpAnswer &answer);
    void retry(Duration delay, bool retryable);
    void finishRequest();

    CallerContext &m_context;
    Options m_options;
    int m_request = 0;
    int m_attempt = 0;
    std::string m_operation;
    std::string m_requestId;
    ExpectedAnswer m_expected;
    std::string m_address;
    TimePoint m_addressUntil;
    TimePoint m_started;
    bool m_lastAttemptExplained = false; ///< The last answer had a reason and a verdict.
};

} // namespace catkinloft::standin
