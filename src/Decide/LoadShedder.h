#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"

#include <map>
#include <optional>
#include <string>

namespace catkinloft {

/// \brief How busy a replica was when it answered, as it said.
struct ReplicaLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 1;
};

/// \brief Which share of the calls of a plain service is sent, while it gets more than it can do.
///
/// Load: a service that has lost replicas, or is called more than usual, on routers of which each
/// sees a few calls a second. Harm prevented: the queues of its replicas stay full, each call waits
/// in them until it is late, and those that find no room are sent from one to the next. With a
/// share refused at once, the rest is on time.
///
/// Replicas tell how many wait with each answer. No router knows the sum of all calls, so each
/// holds back on its own: additive increase and multiplicative decrease of the share that it sends
/// settle where the queues are as long as a call may wait, without a message between routers. A
/// service with one idle replica is not full, so that uneven placement sheds nothing.
class LoadShedder
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
    };

    explicit LoadShedder(Options options) : m_options(std::move(options)) { }

    /// \returns whether one more call should be sent.
    bool admits();

    /// \returns whether calls are being held back; then none that has run should be sent again.
    bool isShedding() const { return m_share < 1; }

    /// \brief Takes note of an answer. \param took from sending to the end. \param target within
    /// which an answer is on time. \param usable replicas that calls may be sent to.
    void answered(const std::string &replica, const ReplicaLoad &load, Duration took,
                  Duration target, std::size_t usable);

    /// \brief Takes note that \a replica had no room for a call.
    void refused(const std::string &replica, std::size_t usable);

    /// \returns the share of calls that is sent.
    double share() const { return m_share; }

private:
    struct ReplicaReport
    {
        TimePoint at;
        bool full = false; ///< A call that came then would be late.
    };

    void note(const std::string &replica, bool full, std::size_t usable);
    bool allReplicasFull(std::size_t usable) const;

    Options m_options;
    double m_share = 1;
    double m_serviceSeconds = 0; ///< Of a call that did not wait, moving average; 0: not known.
    std::map<std::string, ReplicaReport> m_reports; ///< By replica.
    TimePoint m_lastFullAt = {};
};

} // namespace catkinloft
