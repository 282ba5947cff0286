#include "Decide/CrashRecord.h"

#include <algorithm>

namespace catkinloft {

bool CrashRecord::add(const ReplicaEnd &end)
{
    if (has(end.replica) || end.at <= m_clearedAt)
        return false;
    const auto before = [](const ReplicaEnd &a, const ReplicaEnd &b) { return a.at < b.at; };
    const auto place =
            m_ends.insert(std::upper_bound(m_ends.begin(), m_ends.end(), end, before), end);
    if (m_ends.size() <= MaxEnds)
        return true;
    // The last crash is kept because it determines how long the request is held back.
    const auto dropped = m_ends.end() - 2;
    const bool changed = place != dropped;
    m_ends.erase(dropped);
    return changed;
}

bool CrashRecord::clear(TimePoint at)
{
    if (at <= m_clearedAt)
        return false;
    m_clearedAt = at;
    std::erase_if(m_ends, [&](const ReplicaEnd &it) { return it.at <= at; });
    return true;
}

bool CrashRecord::merge(const CrashRecord &other)
{
    bool changed = clear(other.m_clearedAt);
    for (const ReplicaEnd &it : other.m_ends)
        changed = add(it) || changed;
    return changed;
}

int CrashRecord::moments(const std::function<bool(const ReplicaEnd &)> &counts) const
{
    int n = 0;
    TimePoint began;
    TimePoint last;
    for (const ReplicaEnd &it : m_ends) {
        if (!counts(it))
            continue;
        const bool same = n > 0 && it.at - last < MomentGap && it.at - began < MaxMoment;
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
    return std::any_of(m_ends.begin(), m_ends.end(),
                       [&](const ReplicaEnd &it) { return it.replica == replica; });
}

bool CrashRecord::hasSoftware(std::string_view software) const
{
    return std::any_of(m_ends.begin(), m_ends.end(),
                       [&](const ReplicaEnd &it) { return it.software == software; });
}

TimePoint CrashRecord::newest() const
{
    return m_ends.empty() ? m_clearedAt : std::max(m_clearedAt, m_ends.back().at);
}

} // namespace catkinloft
