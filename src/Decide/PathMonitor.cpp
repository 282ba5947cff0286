#include "Decide/PathMonitor.h"

#include "Base/Log.h"

#include <algorithm>
#include <iterator>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// A path with evidence younger than this is not checked again.
constexpr Duration EvidenceLifetime = 500ms;

/// Shortest interval between checks of silent replicas, since a service that is overloaded answers
/// late on all paths.
constexpr Duration SuspicionInterval = 250ms;

/// Other replicas that are checked after a path failed. If they fail too, each of them starts
/// further checks, so that a partition is known after few rounds and a crashed replica costs few
/// connections.
constexpr std::size_t ChecksAfterFailure = 2;

} // namespace

void PathMonitor::setReplicas(std::span<const ReplicaRecord> replicas)
{
    const bool wasPartitioned = isPartitioned();
    m_replicas.clear();
    for (const ReplicaRecord &it : replicas) {
        if (!it.draining)
            m_replicas.push_back(it.incarnation());
    }
    std::sort(m_replicas.begin(), m_replicas.end());
    const auto isGone = [this](const std::string &id) {
        return !std::binary_search(m_replicas.begin(), m_replicas.end(), id);
    };
    std::erase_if(m_broken, isGone);
    std::erase_if(m_silent, isGone);
    std::erase_if(m_crashed, isGone);
    std::erase_if(m_suspects, isGone);
    std::erase_if(m_checkedAt, [&](const auto &it) { return isGone(it.first); });
    std::erase_if(m_provenAt, [&](const auto &it) { return isGone(it.first); });
    noteTransition(wasPartitioned);
}

bool PathMonitor::isPartitioned() const
{
    return !m_broken.empty() && m_broken.size() >= partitionSize();
}

std::size_t PathMonitor::partitionSize() const
{
    const std::size_t share = (m_replicas.size() + PartitionDivisor - 1) / PartitionDivisor;
    return std::min(std::max(MinBroken, share), m_replicas.size());
}

bool PathMonitor::failed(const std::string &id)
{
    m_suspects.erase(id);
    if (!std::binary_search(m_replicas.begin(), m_replicas.end(), id))
        return false;
    const bool wasPartitioned = isPartitioned();
    m_checkedAt[id] = m_options.clock.now();
    if (!m_broken.insert(id).second)
        return false;
    suspectOthers();
    Log::info("replica_path_lost",
              {{"service", m_options.service},
               {"replica", id},
               {"how", m_silent.contains(id) ? "silent" : "unreachable"},
               {"lost_paths", m_broken.size()},
               {"replicas", m_replicas.size()}});
    noteTransition(wasPartitioned);
    m_options.checksDue();
    return true;
}

bool PathMonitor::connected(const std::string &id, Listener listener)
{
    m_suspects.erase(id);
    m_checkedAt[id] = m_options.clock.now();
    if (listener == Listener::Replica) {
        m_crashed.erase(id);
        m_provenAt[id] = m_options.clock.now();
    }
    if (m_silent.contains(id))
        return false;
    const bool wasPartitioned = isPartitioned();
    if (m_broken.erase(id) == 0)
        return false;
    stayedOpen();
    Log::info("replica_path_regained",
              {{"service", m_options.service},
               {"replica", id},
               {"lost_paths", m_broken.size()},
               {"replicas", m_replicas.size()}});
    noteTransition(wasPartitioned);
    return true;
}

bool PathMonitor::silent(const std::string &id)
{
    if (std::binary_search(m_replicas.begin(), m_replicas.end(), id))
        m_silent.insert(id);
    return failed(id);
}

bool PathMonitor::answered(const std::string &id, Listener listener)
{
    m_silent.erase(id);
    return connected(id, listener);
}

void PathMonitor::crashed(const std::string &id)
{
    if (std::binary_search(m_replicas.begin(), m_replicas.end(), id))
        m_crashed.insert(id);
}

TimePoint PathMonitor::provenAt(const std::string &id) const
{
    const auto it = m_provenAt.find(id);
    return it == m_provenAt.end() ? TimePoint::min() : it->second;
}

bool PathMonitor::isMostlyLostBeside(const std::string &id) const
{
    std::size_t lost = 0;
    std::size_t total = 0;
    for (const std::string &it : m_replicas) {
        if (it == id || m_crashed.contains(it))
            continue;
        ++total;
        lost += m_broken.contains(it) ? 1 : 0;
    }
    return 2 * lost > total;
}

std::vector<std::string> PathMonitor::controls(const std::string &id) const
{
    std::vector<std::string> out;
    std::copy_if(m_replicas.begin(), m_replicas.end(), std::back_inserter(out),
                 [&](const std::string &it) {
                     return it != id && !m_crashed.contains(it) && !m_broken.contains(it);
                 });
    return out;
}

void PathMonitor::noteTransition(bool wasPartitioned) const
{
    if (wasPartitioned == isPartitioned())
        return;
    Log::warning(wasPartitioned ? "service_partition_ended" : "service_partitioned",
                 {{"service", m_options.service},
                  {"lost_paths", m_broken.size()},
                  {"replicas", m_replicas.size()}});
}

void PathMonitor::suspect(const std::string &id)
{
    const TimePoint now = m_options.clock.now();
    if (m_suspectedAt != TimePoint::min() && now - m_suspectedAt < SuspicionInterval)
        return;
    if (!addSuspect(id))
        return;
    m_suspectedAt = now;
    m_options.checksDue();
}

/// \returns whether the path to \a id has to be checked and no check was requested before.
bool PathMonitor::addSuspect(const std::string &id)
{
    const auto checked = m_checkedAt.find(id);
    const bool isKnown = checked != m_checkedAt.end()
            && m_options.clock.now() - checked->second < EvidenceLifetime;
    if (isKnown || isBroken(id) || !std::binary_search(m_replicas.begin(), m_replicas.end(), id))
        return false;
    return m_suspects.insert(id).second;
}

void PathMonitor::suspectOthers()
{
    std::size_t n = 0;
    for (const std::string &it : m_replicas) {
        n += addSuspect(it) ? 1 : 0;
        if (n >= ChecksAfterFailure)
            return;
    }
}

std::vector<std::string> PathMonitor::dueChecks()
{
    const TimePoint now = m_options.clock.now();
    std::vector<std::string> out(m_suspects.begin(), m_suspects.end());
    m_suspects.clear();
    for (const std::string &it : out)
        m_checkedAt[it] = now;
    if (m_broken.empty()
        || (m_brokenCheckedAt != TimePoint::min() && now - m_brokenCheckedAt < CheckInterval))
        return out;
    m_brokenCheckedAt = now;
    const auto next = m_broken.upper_bound(m_lastChecked);
    m_lastChecked = next == m_broken.end() ? *m_broken.begin() : *next;
    out.push_back(m_lastChecked);
    return out;
}

} // namespace catkinloft
