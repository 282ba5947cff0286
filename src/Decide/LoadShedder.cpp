#include "Decide/LoadShedder.h"

#include <algorithm>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// A call may wait for this part of its target; its own work, the way, and what the queues grow by
/// until all routers have heard of them need the rest. With half of it, short bursts that all would
/// have been on time are held back too.
constexpr double MaxWaitShare = 0.35;

/// Steps of the share for each answer. Of 69 routers each gets three answers a second, so steps
/// have to be large: with tenths of these the queues swing between empty and late, and of 250 calls
/// a second before places for 200 two fifths are on time instead of three quarters.
constexpr double Decrease = 0.7;
constexpr double Increase = 0.1;

/// Some calls always go, to find out whether the service is still full.
constexpr double MinShare = 0.2;

/// What a replica said is of use for so long: queues of 100 ms are gone by then.
constexpr Duration ReportLifetime = 1500ms;

/// Without a full answer for so long the service is not full any more.
constexpr Duration FullLifetime = 2s;

constexpr double Smoothing = 0.1;

} // namespace

bool LoadShedder::admits()
{
    if (m_share < 1 && m_options.clock.now() - m_lastFullAt > FullLifetime)
        m_share = 1;
    return m_share >= 1 || uniform(m_options.random) < m_share;
}

void LoadShedder::answered(const std::string &replica, const ReplicaLoad &load, Duration took,
                           Duration target, std::size_t usable)
{
    const double slots = std::max(1, load.slots);
    if (load.waiting == 0) {
        const double seconds = toSeconds(took);
        m_serviceSeconds = m_serviceSeconds == 0
                ? seconds
                : m_serviceSeconds + Smoothing * (seconds - m_serviceSeconds);
    }
    // Where it always waits, the work of one call is what it took less its share of the queue.
    const double service =
            m_serviceSeconds > 0 ? m_serviceSeconds : toSeconds(took) / (1 + load.waiting / slots);
    note(replica, load.waiting / slots * service > MaxWaitShare * toSeconds(target), usable);
}

void LoadShedder::refused(const std::string &replica, std::size_t usable)
{
    note(replica, true, usable);
}

void LoadShedder::note(const std::string &replica, bool full, std::size_t usable)
{
    const TimePoint now = m_options.clock.now();
    std::erase_if(m_reports, [=](const auto &it) { return now - it.second.at > ReportLifetime; });
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
    // A router may not have heard of each one lately; of most it must have.
    return 2 * m_reports.size() > usable
            && std::all_of(m_reports.begin(), m_reports.end(),
                           [](const auto &it) { return it.second.full; });
}

} // namespace catkinloft
