#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Decide/ReplicaLoad.h"
#include "Decide/RequestRank.h"

#include <map>
#include <optional>
#include <string>

namespace catkinloft {

/// \brief Determines the share of calls to a plain service that is sent while it is overloaded.
///
/// Handles a service that has lost replicas or gets more calls than usual, with many routers that
/// each see a few calls per second. Without load shedding the queues of the replicas stay full,
/// each call waits in them until it is late, and calls that find a queue full are sent from one
/// replica to the next. If a share of the calls is refused immediately, the others are on time.
///
/// Replicas report the length of their queue with each answer. No router knows the total number of
/// calls, so each adjusts the share that it sends on its own by additive increase and
/// multiplicative decrease. This converges, without messages between routers, to queues as long as
/// a call may wait. A service with one idle replica is not full, so uneven placement causes no
/// shedding.
///
/// The calls that are sent are the most urgent ones. The share of each rank follows from the total
/// share and the recent mix of ranks at this router; a small share of every rank is always sent.
class LoadShedder
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
    };

    explicit LoadShedder(Options options) : m_options(std::move(options)) { }

    /// \returns whether the next call, which has \a rank, should be sent; if not, it is refused.
    bool admits(const RequestRank &rank);

    /// \returns whether calls are being shed; then no call that has run should be retried.
    bool isShedding() const;

    /// \brief Updates the share after an answer.
    /// \param latency time from sending the call to the end of the answer.
    /// \param target latency up to which an answer is on time.
    /// \param usable number of replicas that calls may be sent to.
    void answered(const std::string &replica, const ReplicaLoad &load, Duration latency,
                  Duration target, std::size_t usable);

    /// \brief Updates the share after \a replica refused a call because its queue is full.
    void refused(const std::string &replica, std::size_t usable);

    /// \returns the share of calls that is sent, above 0 and at most 1.
    double share() const { return isShedding() ? m_share : 1; }

    /// \returns when a refused caller should retry: a random time that spreads the callers, longer
    /// the smaller the share of calls that is sent, and at most a third of \a remaining.
    Duration retryAfter(Duration remaining);

private:
    struct Before
    {
        bool operator()(const RequestRank &a, const RequestRank &b) const { return a.isBefore(b); }
    };
    struct ReplicaReport
    {
        TimePoint receivedAt;
        bool full = false; ///< A call that arrived at that time would be late.
    };

    void update(const std::string &replica, bool full, std::size_t usable);
    bool allReplicasFull(std::size_t usable) const;
    void countCall(const RequestRank &rank, TimePoint now);
    double shareOf(const RequestRank &rank) const;

    Options m_options;
    double m_share = 1;
    double m_meanShare = 1; ///< Moving average of m_share.
    double m_serviceSeconds = 0; ///< Moving average of calls that did not wait; 0: unknown.
    std::map<std::string, ReplicaReport> m_reports; ///< By replica.
    TimePoint m_lastFullAt = {}; ///< All replicas were full.
    TimePoint m_lastFullReportAt = {}; ///< Any replica was full.
    std::map<RequestRank, double, Before> m_calls; ///< Decayed number of calls by rank.
    TimePoint m_lastCallAt = {};
};

} // namespace catkinloft
