#include "Decide/CrashRecord.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>
#include <utility>

namespace catkinloft {

TimePoint ReplicaCrash::sentAt() const
{
    return runTime == UnknownRunTime ? TimePoint::min() : at - runTime;
}

bool ReplicaCrash::merge(const ReplicaCrash &other)
{
    const auto known = [](const ReplicaCrash &it) {
        return std::tuple(it.runTime, it.isConfirmed, it.isTrial);
    };
    const auto before = known(*this);
    runTime = std::max(runTime, other.runTime);
    isConfirmed = isConfirmed || other.isConfirmed;
    isTrial = isTrial || other.isTrial;
    return known(*this) != before;
}

bool CrashRecord::add(const ReplicaCrash &crash)
{
    if (crash.at <= m_clearedAt)
        return false;
    const auto known =
            std::find_if(m_crashes.begin(), m_crashes.end(),
                         [&](const ReplicaCrash &it) { return it.replica == crash.replica; });
    if (known != m_crashes.end())
        return known->merge(crash);
    const auto before = [](const ReplicaCrash &a, const ReplicaCrash &b) { return a.at < b.at; };
    m_crashes.insert(std::upper_bound(m_crashes.begin(), m_crashes.end(), crash, before), crash);
    if (m_crashes.size() <= MaxCrashes)
        return true;
    const auto dropped = leastInformative();
    const bool changed = dropped->replica != crash.replica;
    m_crashes.erase(dropped);
    return changed;
}

/// \returns the crash without which the numbers of incidents change least, and of several ones the
/// latest. The last crash determines how long the request is held back, and a trial tells most.
std::vector<ReplicaCrash>::iterator CrashRecord::leastInformative()
{
    const auto count = [this](const ReplicaCrash *without) {
        const auto counts = [without](const ReplicaCrash &it) { return &it != without; };
        return std::pair(incidents(counts), incidents([&](const ReplicaCrash &it) {
                             return it.isConfirmed && counts(it);
                         }));
    };
    const auto [all, confirmed] = count(nullptr);
    const auto loss = [&, all = all, confirmed = confirmed](const ReplicaCrash &it) {
        const auto [allOthers, confirmedOthers] = count(&it);
        return std::tuple(it.isTrial, std::abs(confirmed - confirmedOthers),
                          std::abs(all - allOthers));
    };
    auto out = m_crashes.end() - 2;
    for (auto it = out; it != m_crashes.begin();) {
        --it;
        if (loss(*it) < loss(*out))
            out = it;
    }
    return out;
}

bool CrashRecord::clear(TimePoint at)
{
    if (at <= m_clearedAt)
        return false;
    m_clearedAt = at;
    std::erase_if(m_crashes, [&](const ReplicaCrash &it) { return it.at <= at; });
    return true;
}

bool CrashRecord::merge(const CrashRecord &other)
{
    bool changed = clear(other.m_clearedAt);
    for (const ReplicaCrash &it : other.m_crashes)
        changed = add(it) || changed;
    return changed;
}

int CrashRecord::incidents(const std::function<bool(const ReplicaCrash &)> &counts) const
{
    int n = 0;
    TimePoint began;
    TimePoint last;
    for (const ReplicaCrash &it : m_crashes) {
        if (!counts(it))
            continue;
        const bool same = n > 0 && it.at - last < IncidentGap && it.at - began < MaxIncidentTime
                && it.sentAt() <= began + TimeTolerance;
        last = it.at;
        if (same)
            continue;
        began = it.at;
        ++n;
    }
    return n;
}

bool CrashRecord::has(std::string_view replica) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(),
                       [&](const ReplicaCrash &it) { return it.replica == replica; });
}

bool CrashRecord::mayHave(const ReplicaCrash &crash) const
{
    const bool mayBeDropped = m_crashes.size() == MaxCrashes && crash.at > m_crashes.front().at
            && crash.at < m_crashes.back().at;
    return mayBeDropped || has(crash.replica);
}

bool CrashRecord::hasSoftware(std::string_view software) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(),
                       [&](const ReplicaCrash &it) { return it.software == software; });
}

TimePoint CrashRecord::lastEventAt() const
{
    return m_crashes.empty() ? m_clearedAt : std::max(m_clearedAt, m_crashes.back().at);
}

} // namespace catkinloft
