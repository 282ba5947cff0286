#pragma once

#include "Base/Random.h"
#include "ExecutionRecord.h"
#include "Standin.h"

#include <deque>

namespace catkinloft::standin {

/// \brief Plays a replica of a service on the users' platform: calls, and streams of as
/// many numbered events as the query parameter `events` says, which may be resumed. Keeps a record
/// of what it ran.
///
/// `POST /v1/control` sets shares from 0 to 1 of requests: `fail` (runs and answers 500), `refuse`
/// (does not run and says so), `lose` (runs and breaks the connection), `hang` (runs and never
/// answers), `cut` (breaks a stream within an event). `leaving` above 0 has all answers say that it
/// leaves, for good; `pause_ms` turns all requests away and asks for that pause. A request with
/// FatalBody ends the process, and so does one above twice `cold_per_s` in a second.
class ReplicaStandin final : public Standin
{
public:
    struct Options
    {
        EventLoop &loop;
        std::string id;
        Duration serviceTime = std::chrono::milliseconds(5);
        Duration eventInterval = std::chrono::milliseconds(10);
        std::string recordFile = {};
    };

    explicit ReplicaStandin(Options options);

    void handle(const HttpExchangePtr &exchange) override;

    /// \returns the signature of a complete answer to request \a id with \a body.
    static std::string signatureOf(const std::string &id, const std::string &body);

private:
    struct Stream
    {
        HttpExchangePtr exchange;
        int next = 1;
        int last = 0;
        int cutAt = 0; ///< Event within which the connection is broken; 0: none.
    };

    void control(const HttpExchangePtr &exchange);
    bool shouldInject(const char *fault);
    double faultValue(const char *name) const;
    HttpHeaders withLeavingHeader(HttpHeaders headers) const;
    void refuse(const HttpExchangePtr &exchange, const std::string &retryAfter);
    void record(const HttpExchange &exchange, bool refused = false);
    void crash(const HttpExchangePtr &exchange);
    bool exceedsColdRateLimit();
    HttpHeaders headersOf(const HttpExchange &exchange, const std::string &body) const;
    void answerCall(const HttpExchangePtr &exchange);
    void startStream(const HttpExchangePtr &exchange);
    void continueStream(const std::shared_ptr<Stream> &stream);

    Options m_options;
    ExecutionRecord m_record;
    std::map<std::string, double> m_faults;
    std::deque<TimePoint> m_arrivals; ///< Of the last second.
    RandomSource m_random;
};

} // namespace catkinloft::standin
