#pragma once

#include "Base/Clock.h"
#include "Decide/Job.h"

#include <span>
#include <vector>

namespace catkinloft {

/// \brief Finds upstreams that are much worse than the rest of their pool and lets them earn their
/// traffic back.
///
/// Load: one engine that fails or has become slow while its peers are well. Harm prevented: a share
/// of all chats keeps failing, or a late plan costs a penalty. An upstream is compared with its
/// peers, since an absolute latency limit would be wrong for long finding aids or short notes.
class HealthTracker
{
public:
    enum class State {
        Healthy,
        Ejected, ///< Gets nothing until a time.
        HalfOpen, ///< Gets one request at a time as a probe.
    };

    /// How long an upstream's setbacks count against it; flapping is a matter of minutes.
    static constexpr Duration SetbackLifetime = std::chrono::minutes(5);

    /// \brief Health of one upstream.
    struct Entry
    {
        State state = State::Healthy;
        double errorRate = 0; ///< Moving average.
        double cost = 0; ///< Moving average of seconds a unit of work.
        int samples = 0;
        int failuresInRow = 0;
        int setbacks = 0; ///< Ejections and returns, halved with time.
        bool probing = false; ///< A half-open probe is in progress.
        TimePoint ejectedUntil;
        TimePoint rampStart; ///< Slow start; the past where there is none.
        Duration rampTime = Duration::zero();
        TimePoint setbackAt;
    };

    /// \brief Takes over `rules.max_ejected_share`.
    void setMaxEjectedShare(double share) { m_maxEjectedShare = share; }

    /// \brief Judges \a it by how one attempt went.
    /// \returns whether its state changed.
    bool record(Entry &it, double work, const AttemptReport &report, std::size_t poolSize,
                TimePoint now);

    /// \brief Ejects \a it after one attempt, for a failure that no sound upstream shows.
    /// \returns whether it was healthy before and may be ejected.
    bool ejectImmediately(Entry &it, std::size_t poolSize, TimePoint now);

    /// \brief Compares with the median of \a entries; call about once a second.
    void updateBaseline(std::vector<double> costs);

    /// \returns whether \a it may get a request now; opens it half when its time is over.
    bool admits(Entry &it, TimePoint now);

    /// \brief Starts slow start for an upstream that joined or returned.
    void joined(Entry &it, TimePoint now);

    /// \returns share of its usual load that \a it may carry, above 0 and at most 1.
    static double ramp(const Entry &it, TimePoint now);

    /// \brief Forgets \a it, which left the pool.
    void removed(const Entry &it);

    int ejectedCount() const { return m_ejected; }
    double maxEjectedShare() const { return m_maxEjectedShare; }
    std::uint64_t ejections() const { return m_ejections; }

private:
    bool isOutlier(const Entry &it) const;
    bool mayEject(std::size_t poolSize) const;
    void eject(Entry &it, TimePoint now);
    void recover(Entry &it, TimePoint now);
    static void addSetback(Entry &it, TimePoint now);

    double m_maxEjectedShare = 0.34;
    double m_medianCost = 0;
    int m_ejected = 0; ///< Ejected or half open.
    std::uint64_t m_ejections = 0;
};

} // namespace catkinloft
