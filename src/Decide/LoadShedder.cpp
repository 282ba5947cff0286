#include "Decide/LoadShedder.h"

#include <algorithm>
#include <cmath>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Share of the target latency that a call may wait in the queue. The rest is for its service time,
/// the round trip, and the growth of the queues until all routers have received a report of them.
/// With half of this value short bursts would be shed although all their calls would be on time.
constexpr double MaxWaitShare = 0.35;

/// Change of the share per answer. Each of 69 routers gets only three answers per second, so the
/// steps have to be large: with a tenth of these values the queues oscillate between empty and too
/// long, and of 250 calls per second to a capacity of 200 two fifths are on time instead of three
/// quarters.
constexpr double Decrease = 0.7;
constexpr double Increase = 0.1;

/// A part of the calls is always sent, to detect that the service is no longer full.
constexpr double MinShare = 0.2;

/// Time after which the report of a replica is discarded: queues of 100 ms have drained by then.
constexpr Duration ReportLifetime = 1500ms;

/// Time without a report of a full queue after which the service is no longer considered full.
constexpr Duration FullLifetime = 2s;

constexpr double Smoothing = 0.1;

/// Share of every rank that is sent while more urgent calls are enough to fill the service, so that
/// no caller is refused forever.
constexpr double MinRankShare = 0.05;

/// Time constant of the mix of ranks in seconds. A router gets about three calls per second, and
/// with much fewer than 30 calls the shares of the ranks would follow chance.
constexpr double MixSeconds = 10;

/// Time constant of the mean share in seconds: several periods of its variation. With 2 one in ten
/// calls of a rank that fits into the mean is refused; with 4 it takes a second longer to shed
/// urgent calls if they alone exceed the capacity.
constexpr double MeanSeconds = 3;

/// Part of a rank's calls that must fit into the mean share. The mean varies as well, with few
/// calls per router by about this margin.
constexpr double MeanMargin = 0.85;

/// Time after a report of a full queue in which only the smallest share is sent to the less urgent
/// ranks. Lowering the share takes several answers, in which the queue would grow and make the
/// urgent calls late.
constexpr Duration FullReportLifetime = 300ms;

/// Ranks with a smaller decayed number of calls are no longer in use.
constexpr double MinCalls = 0.1;

/// Longest time after which a refused caller should retry. Longer times would only delay the
/// callers' return after the overload.
constexpr Duration MaxRetryAfter = 5s;

} // namespace

bool LoadShedder::admits(const RequestRank &rank)
{
    const TimePoint now = m_options.clock.now();
    const double passed = toSeconds(now - m_lastCallAt);
    m_meanShare += (m_share - m_meanShare) * (1 - std::exp(-passed / MeanSeconds));
    countCall(rank, now);
    if (!isShedding()) {
        m_share = 1;
        return true;
    }
    return uniform(m_options.random) < shareOf(rank);
}

bool LoadShedder::isShedding() const
{
    return m_share < 1 && m_options.clock.now() - m_lastFullAt <= FullLifetime;
}

Duration LoadShedder::retryAfter(Duration remaining)
{
    const Duration longest = std::clamp<Duration>(remaining / 3, 0s, MaxRetryAfter);
    // Half of the longest time if nearly all calls are sent, nearly all of it if few are.
    const double top = 1 - 0.5 * m_share;
    return scaled(longest, top * (0.25 + 0.75 * uniform(m_options.random)));
}

void LoadShedder::countCall(const RequestRank &rank, TimePoint now)
{
    const double decay = std::exp(-toSeconds(now - m_lastCallAt) / MixSeconds);
    m_lastCallAt = now;
    for (auto &it : m_calls)
        it.second *= decay;
    std::erase_if(m_calls, [](const auto &it) { return it.second < MinCalls; });
    m_calls[rank] += 1;
}

/// \returns the share of the calls of \a rank that is sent.
double LoadShedder::shareOf(const RequestRank &rank) const
{
    if (m_calls.size() == 1)
        return m_share;
    double total = 0;
    for (const auto &it : m_calls)
        total += it.second;
    const bool isFull = m_options.clock.now() - m_lastFullReportAt < FullReportLifetime;
    double room = ((isFull ? MinShare : m_share) - MinRankShare) * total;
    double meanRoom = (m_meanShare - MinRankShare) * total;
    for (const auto &[other, calls] : m_calls) {
        const double all = (1 - MinRankShare) * calls;
        // The share varies by several times its mean. A rank whose calls can all be sent at the
        // mean is not refused while the share is low; the less urgent ones are.
        const double sent = meanRoom >= MeanMargin * all ? all : std::clamp(room, 0.0, all);
        if (!other.isBefore(rank))
            return MinRankShare + sent / calls;
        room -= sent;
        meanRoom -= all;
    }
    return MinRankShare;
}

void LoadShedder::answered(const std::string &replica, const ReplicaLoad &load, Duration latency,
                           Duration target, std::size_t usable)
{
    const double slots = std::max(1, load.slots);
    if (load.waiting == 0) {
        const double seconds = toSeconds(latency);
        m_serviceSeconds = m_serviceSeconds == 0
                ? seconds
                : m_serviceSeconds + Smoothing * (seconds - m_serviceSeconds);
    }
    // If all calls wait, the service time is derived from the latency and the length of the queue.
    const double service = m_serviceSeconds > 0 ? m_serviceSeconds
                                                : toSeconds(latency) / (1 + load.waiting / slots);
    update(replica, load.waiting / slots * service > MaxWaitShare * toSeconds(target), usable);
}

void LoadShedder::refused(const std::string &replica, std::size_t usable)
{
    update(replica, true, usable);
}

void LoadShedder::update(const std::string &replica, bool full, std::size_t usable)
{
    const TimePoint now = m_options.clock.now();
    std::erase_if(m_reports,
                  [=](const auto &it) { return now - it.second.receivedAt > ReportLifetime; });
    m_reports[replica] = {now, full};
    if (full)
        m_lastFullReportAt = now;
    if (!full) {
        m_share = std::min(1.0, m_share + Increase);
    } else if (allReplicasFull(usable)) {
        m_lastFullAt = now;
        m_share = std::max(MinShare, m_share * Decrease);
    }
}

bool LoadShedder::allReplicasFull(std::size_t usable) const
{
    // Requires recent reports from more than half of the replicas; a router need not have all.
    return 2 * m_reports.size() > usable
            && std::all_of(m_reports.begin(), m_reports.end(),
                           [](const auto &it) { return it.second.full; });
}

} // namespace catkinloft
