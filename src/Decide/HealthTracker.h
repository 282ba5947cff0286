#pragma once

#include "Base/Clock.h"
#include "Decide/Job.h"

#include <span>
#include <vector>

namespace catkinloft {

/// \brief Ejects upstreams that are much worse than the rest of their pool, and returns traffic to
/// them after a successful probe.
///
/// Handles one engine that fails or has become slow while its peers are healthy. Prevents a share
/// of all chats from failing again and again, and answers that arrive too late for the caller. An
/// upstream is compared with the median of its pool, because an absolute latency limit would be
/// wrong for either long or short requests.
class HealthTracker
{
public:
    enum class State {
        Healthy,
        Ejected, ///< Gets no requests until Entry::ejectedUntil.
        HalfOpen, ///< Gets one request at a time as a probe.
    };

    /// Time after which the setbacks of an upstream are halved; flapping happens within minutes.
    static constexpr Duration SetbackLifetime = std::chrono::minutes(5);

    /// \brief Health state of one upstream.
    struct Entry
    {
        State state = State::Healthy;
        double errorRate = 0; ///< Moving average.
        double cost = 0; ///< Moving average of seconds per unit of work.
        int samples = 0;
        int failuresInRow = 0;
        int setbacks = 0; ///< Ejections and returns, halved after SetbackLifetime.
        bool probing = false; ///< A half-open probe is in progress.
        TimePoint ejectedUntil;
        TimePoint pausedUntil = TimePoint::min(); ///< When the last answer after a pause arrived.
        TimePoint rampStart; ///< Begin of the slow start; in the past if there is none.
        Duration rampTime = Duration::zero();
        TimePoint setbackAt;
    };

    /// \brief Sets `rules.max_ejected_share`, the largest share of a pool that may be ejected.
    void setMaxEjectedShare(double share) { m_maxEjectedShare = share; }

    /// \brief Updates \a it with the outcome of one attempt.
    /// \returns whether its state changed.
    bool record(Entry &it, double work, const AttemptReport &report, std::size_t poolSize,
                TimePoint now);

    /// \brief Ejects \a it after a single attempt, for a failure that no healthy upstream shows.
    /// \returns whether it was healthy before and may be ejected.
    bool ejectImmediately(Entry &it, std::size_t poolSize, TimePoint now);

    /// \brief Like ejectImmediately(), for a failure whose cause is certainly the upstream itself.
    /// At least half of the pool stays in use, whatever share may be ejected otherwise.
    bool ejectFaulty(Entry &it, std::size_t poolSize, TimePoint now);

    /// \brief Sets the median of \a costs as the cost that upstreams are compared with; call about
    /// once a second.
    void updateBaseline(std::vector<double> costs);

    /// \returns whether \a it may get a request now; makes it half open when its ejection time is
    /// over.
    bool admits(Entry &it, TimePoint now);

    /// \brief Begins the slow start of an upstream that joined or returned.
    void joined(Entry &it, TimePoint now);

    /// \returns the share of its usual load that \a it may get, above 0 and at most 1.
    static double ramp(const Entry &it, TimePoint now);

    /// \returns the average cost of \a it as a multiple of the median; 0 if none is known.
    double costRatio(const Entry &it) const;

    /// \brief Removes \a it, which left the pool, from the count of ejected upstreams.
    void removed(const Entry &it);

    int ejectedCount() const { return m_ejected; }
    double maxEjectedShare() const { return m_maxEjectedShare; }
    std::uint64_t ejections() const { return m_ejections; }

private:
    void addCost(Entry &it, double cost, Duration total, TimePoint now) const;
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
