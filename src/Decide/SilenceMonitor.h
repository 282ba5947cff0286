#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Tracks from which replicas of one service no byte arrives while requests of this router
/// are in progress there.
///
/// Handles replicas or network paths that stall for a time. Prevents that the silence of a whole
/// service is taken for the failure of single replicas, so that requests are moved from one silent
/// replica to the next.
class SilenceMonitor
{
public:
    explicit SilenceMonitor(const Clock &clock) : m_clock(clock) { }

    /// \brief Records that a request was sent to replica \a id.
    void sent(const std::string &id);

    /// \brief Records that bytes of an answer of replica \a id arrived.
    void received(const std::string &id);

    /// \brief Records that a request at replica \a id has ended.
    void ended(const std::string &id);

    /// \brief Forgets all replicas without requests in progress that are not in \a registered.
    void retain(const std::set<std::string> &registered);

    /// \returns the time since the last byte from replica \a id, but at most the time for which
    /// requests have been in progress there; zero if none is.
    Duration silenceOf(const std::string &id) const;

    /// \returns the time since the last byte from replica \a id; std::nullopt if none has arrived.
    std::optional<Duration> sinceReceived(const std::string &id) const;

    /// \returns the number of replicas that have been silent for \a limit or longer.
    std::size_t silentReplicas(Duration limit) const;

    /// \returns the replicas that have been silent for \a limit or longer.
    std::vector<std::string> silent(Duration limit) const;

    /// \returns whether several replicas have been silent for \a limit or longer, and fewer have
    /// sent a byte within it. The cause is then more than the failure of one replica, and another
    /// one would hardly answer sooner.
    bool isMostlySilent(Duration limit) const;

    /// \returns the number of replicas with requests in progress.
    std::size_t busyReplicas() const;

private:
    struct Entry
    {
        int inProgress = 0;
        TimePoint lastSign = {}; ///< Last byte, or when the first of the requests was sent.
        TimePoint lastByteAt = TimePoint::min();
    };

    Duration silence(const Entry &it) const;
    bool isSilent(const Entry &it, Duration limit) const;

    const Clock &m_clock;
    std::map<std::string, Entry> m_entries;
};

} // namespace catkinloft
