#include "Decide/LoadShedder.h"

#include <algorithm>

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

} // namespace

bool LoadShedder::admits()
{
    if (m_share < 1 && m_options.clock.now() - m_lastFullAt > FullLifetime)
        m_share = 1;
    return m_share >= 1 || uniform(m_options.random) < m_share;
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
