#pragma once

#include "Base/Clock.h"

#include <algorithm>

namespace catkinloft {

/// \brief Estimates how much longer than usual one replica takes for its work.
///
/// Handles two kinds of slowness: a replica that is always slower than the others, and one on a
/// shared machine that is slow for some hundred milliseconds. The first is learned from the times
/// of its events or calls, the second is taken from its load reports. Prevents requests from being
/// placed as if all replicas worked at the same speed.
///
/// A router sends each of 140 engines only one request in ten seconds, so the learned time is a
/// slow average that begins at the usual time and counts only if it clearly exceeds it. A replica
/// is never considered faster than usual: otherwise the luckiest of many equal replicas, or one
/// that reports a wrong pace, would get most of the requests.
class ReplicaSpeed
{
public:
    /// Largest factor(): a slower replica gets fewer requests, but not none.
    static constexpr double MaxFactor = 4;

    /// Time for which a reported pace holds: machines change their pace every 600 ms.
    static constexpr Duration PaceLifetime = std::chrono::milliseconds(600);

    /// Time without new samples after which the learned time no longer counts, so that a replica
    /// that is avoided because of an old estimate is tried again.
    static constexpr Duration SampleLifetime = std::chrono::minutes(5);

    /// \brief The usual time of an event or call at one service: a running median of the times at
    /// all replicas, which follows the load of the service within about fifty samples. The median
    /// is the time of a usual replica even if a third of them are slower.
    class Baseline
    {
    public:
        /// \brief Adds a sample. \returns its ratio to the usual time; 1 if there are too few
        /// samples yet.
        double observe(Duration time);

    private:
        double m_seconds = 0;
        int m_samples = 0;
    };

    /// \brief Updates the learned time with one event or call that took \a ratio times the usual
    /// time.
    void observe(double ratio, TimePoint now);

    /// \brief Records the \a pace that the replica reported. Values outside 1 to MaxFactor are
    /// limited.
    void paceReported(double pace, TimePoint now);

    /// \returns how many times longer than usual work takes on this replica in general, as learned
    /// from samples. At least 1, at most MaxFactor.
    double learnedTime(TimePoint now) const;

    /// \returns how many times longer than usual work takes at \a now by the last report, which
    /// decays to 1 within PaceLifetime.
    double pace(TimePoint now) const;

    /// \returns the larger of both, since a replica that is always slow may report that too.
    double factor(TimePoint now) const { return std::max(learnedTime(now), pace(now)); }

private:
    double m_relativeTime = 1; ///< Learned; 1: usual.
    int m_samples = 0;
    TimePoint m_sampledAt = {};
    double m_pace = 1; ///< As last reported.
    TimePoint m_reportedAt = {};
};

} // namespace catkinloft
