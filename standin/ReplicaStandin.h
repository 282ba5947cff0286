#pragma once

#include "Base/Random.h"
#include "ExecutionRecord.h"
#include "Standin.h"

#include <deque>

namespace catkinloft::standin {

/// \brief Simulates a replica of a service on the users' platform. It answers calls, and streams as
/// many numbered events as the query parameter `events` says; streams may be resumed. It records
/// the requests that it executed or refused. The query parameter `bytes` is the least length of the
/// answer to a call.
///
/// `POST /v1/control` sets the share, from 0 to 1, of requests with a fault: `fail` (executes and
/// answers 500), `refuse` (answers that the request was not executed), `lose` (executes and closes
/// the connection), `hang` (executes and never answers), `cut` (closes the connection within an
/// event of a stream). If `leaving` is above 0, all answers announce from then on that the replica
/// is leaving. If `pause_ms` is above 0, all requests are refused with this time in `Retry-After`.
/// The process crashes on a request with FatalBody or with FatalPart among the parts of its prompt,
/// except the last, and when it receives more than twice `cold_per_s` requests within a second.
///
/// With a number of slots, requests beyond them wait, and those beyond the queue are refused as not
/// executed. Its load reports then state the requests that run and wait. `slots` and `queue` set
/// both at run time, `call_ms` the time that a call takes, unless its query parameter `work_ms`
/// states it.
///
/// With `brittle` above 0 all answers to requests carry `Server-Brittle`; `brittle_after_ms` later
/// the queue is `brittle_queue`, and the process exits if it has to reject more than `brittle`
/// requests for lack of room within one second.
class ReplicaStandin final : public Standin
{
public:
    struct Options
    {
        EventLoop &loop;
        std::string id;
        std::string version = {}; ///< Software version, which each event names; empty: none does.
        Duration serviceTime = std::chrono::milliseconds(5);
        Duration eventInterval = std::chrono::milliseconds(10);
        int slots = 0; ///< Requests that run at the same time; 0: no limit.
        int queue = 0; ///< Requests that wait for a slot.
        std::string recordFile = {};
    };

    explicit ReplicaStandin(Options options);

    void handle(const HttpExchangePtr &exchange) override;

    /// \returns event \a n of a stream from a replica with software \a version.
    static std::string eventText(int n, const std::string &version);

    /// \returns the signature of a complete answer to request \a id with \a body.
    static std::string signatureOf(const std::string &id, const std::string &body);

private:
    /// \brief What became of a request that arrived.
    enum class Arrival {
        Executed,
        Refused,
        Misdirected, ///< It names another replica.
    };

    struct Stream
    {
        HttpExchangePtr exchange;
        int next = 1;
        int last = 0;
        Duration interval = {}; ///< Between two events.
        int cutAt = 0; ///< Event within which the connection is closed; 0: none.
    };

    void control(const HttpExchangePtr &exchange);
    bool shouldInject(const char *fault);
    double faultValue(const char *name) const;
    HttpHeaders withStateHeaders(HttpHeaders headers) const;
    int pacePercent() const; ///< How long work takes at this moment; 100 is usual.
    void refuse(const HttpExchangePtr &exchange, const std::string &retryAfter);
    void refuseMisdirected(const HttpExchangePtr &exchange);
    void record(const HttpExchange &exchange, Arrival arrival);
    void crash(const HttpExchangePtr &exchange);
    bool exceedsColdRateLimit();
    HttpHeaders headersOf(const HttpExchange &exchange, const std::string &body) const;
    int slots() const; ///< 0: no limit.
    int queueLength() const; ///< Requests that may wait for a slot.
    bool hasRoom();
    void rejectForLackOfRoom(const HttpExchangePtr &exchange);
    std::string loadReport() const;
    void execute(const HttpExchangePtr &exchange);
    void releaseSlot();
    void answerCall(const HttpExchangePtr &exchange);
    void startStream(const HttpExchangePtr &exchange);
    void continueStream(const std::shared_ptr<Stream> &stream);

    Options m_options;
    ExecutionRecord m_record;
    std::map<std::string, double> m_faults;
    std::deque<TimePoint> m_arrivals; ///< Times of the requests of the last second.
    std::deque<TimePoint> m_rejections; ///< For lack of room, in the last second.
    TimePoint m_brittleSince; ///< Valid while `brittle` is above 0.
    RandomSource m_random;
    int m_running = 0;
    std::deque<HttpExchangePtr> m_waiting; ///< Requests without a slot, in order of arrival.
};

} // namespace catkinloft::standin
