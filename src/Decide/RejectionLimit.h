#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Decide/ReplicaLoad.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief A service whose replicas crash if they reject too much, as one router announces it.
struct BrittleService
{
    std::string service = {};
    int maxRejections = 0; ///< Rejections in one second that a replica survives.
    Duration age = {}; ///< Since the last answer that said so.
    int routers = 1; ///< Routers in the fleet, as known to the sender.
};

/// \brief Limits the rejections that one router causes at each replica of a brittle service.
///
/// Handles a service whose replicas announce that they crash if they reject more than N requests
/// within one second, in front of up to hundreds of routers that share no counter. Without a limit
/// a burst makes all routers send to the same full replica at once; it crashes, its load moves to
/// the others, and they crash too. Messages between routers are too slow to prevent this: a replica
/// of 6 slots and calls of 30 ms that gets five times what it can do rejects 20 requests in 25 ms.
///
/// Therefore each router limits itself before anything was rejected, by its part of two totals:
/// - Requests in progress at a replica, from all routers: so few that, even if twice as many
///   routers send as are known, hardly ever N more than the slots are in progress. Only those
///   beyond the slots can be rejected.
/// - Rejections by a replica in one second, from all routers: a third of N, or less. A router
///   that has used its part sends nothing to the replica until the part is due again, which takes
///   longer than a second if there are more routers than such rejections. This also limits how
///   much is rejected if the overload lasts.
/// Parts below one are drawn at random: with 6 slots and an N of 20, 8 of 295 routers may have one
/// request in progress. They are redrawn every ten seconds, so that no router is left out for long.
/// A router's parts at several replicas are drawn together, so that as many routers as possible
/// have one somewhere.
///
/// Load reports adjust this: a replica that has just reported a queue gets nothing until the report
/// lapses, and one that is at most half full gets a request beyond the part. Only routers that have
/// just received an answer have such a report, which bounds their number.
///
/// Whether a service is brittle and N are known from the answers of its replicas and from other
/// routers. One replica that says so is enough, and the smallest N since the state began counts. It
/// ends HoldTime after the last answer that says so, once one arrived that does not; without any
/// answer it ends after MaxUnconfirmedTime. Safety depends on no message: a router that hears no
/// other one uses the last number of routers that it knew.
class RejectionLimit
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        std::string service = {};
        std::function<int()> routers = [] { return 1; }; ///< Number of routers in the fleet.
        bool isEnabled = true;
    };

    /// \brief What an answer of a replica says about rejections.
    struct Answer
    {
        std::optional<int> maxRejections = {}; ///< The replica is brittle with this N.
        bool isMalformed = false; ///< It states an N that is unusable.
        bool isRejection = false; ///< The replica had no room for the request.
        std::optional<ReplicaLoad> load = {};
    };

    /// \brief A replica and its number of slots.
    struct Replica
    {
        std::string id; ///< Incarnation.
        int slots = 1;
    };

    /// Time for which the state lasts after the last answer with the header, so that a replica
    /// whose header is missing in some answers does not switch it on and off.
    static constexpr Duration HoldTime = std::chrono::seconds(5);

    /// Time after which the state ends if no answer arrives at all. Replicas are back a few seconds
    /// after a crash.
    static constexpr Duration MaxUnconfirmedTime = std::chrono::seconds(30);

    explicit RejectionLimit(Options options);

    /// \brief Sets the registered replicas of the service.
    void setReplicas(std::vector<Replica> replicas);

    /// \brief Records the head of an answer of \a replica.
    void answered(std::string_view replica, const Answer &answer);

    /// \brief Records that \a router announced that the service is brittle.
    void announced(std::string_view router, const BrittleService &state);

    /// \brief Counts a request that is sent to \a replica.
    void sent(std::string_view replica);

    /// \returns whether a request may be sent to \a replica, at which this router has \a inProgress
    /// requests. Always true while the service is not brittle.
    bool admits(std::string_view replica, int inProgress);

    /// \brief Counts a request that this router refused because of the limit.
    /// \returns the random time after which the caller may try again.
    Duration retryAfter();

    /// \returns whether the limit is in force.
    bool isBrittle();

    /// \returns the smallest N that is in force; 0 while the service is not brittle.
    int maxRejections() const { return m_isBrittle ? m_maxRejections : 0; }

    /// \returns what this router announces to the others, if the service is brittle.
    std::optional<BrittleService> ownAnnouncement();

    /// \returns the replica or router that reported first that the service is brittle.
    const std::string &reporter() const { return m_reporter; }

    const std::string &service() const { return m_options.service; }

    /// \returns the number of routers among which the limits are distributed.
    int routers() const { return m_routers; }

    /// \returns how long the service has been brittle; zero if it isn't.
    Duration brittleFor() const;

    /// \returns the most rejections by one replica that this router received within the last
    /// second.
    int worstRejections() const;

    /// \brief Numbers since the start of this router, for counters.
    struct Totals
    {
        std::uint64_t begins = 0;
        std::uint64_t ends = 0;
        std::uint64_t rejections = 0; ///< Received while the service was brittle.
        std::uint64_t malformed = 0; ///< Answers with an unusable header.
    };
    const Totals &totals() const { return m_totals; }

private:
    struct State
    {
        std::deque<TimePoint> rejections = {}; ///< Those that still count.
        int permits = 0; ///< Requests that this router may have in progress.
        ReplicaLoad load = {};
        TimePoint loadAt = TimePoint::min();
        int sentSinceLoad = 0;
    };

    void noteEvidence(std::string_view source, int maxRejections, TimePoint at, bool isReplica);
    void end(TimePoint now);
    void logMalformed(std::string_view replica, TimePoint now);
    void updateRouters(TimePoint now);
    void updatePermits(TimePoint now);
    void removeExpired(State &it, TimePoint now) const;
    int rejectionBudget() const;
    Duration rejectionWindow() const;
    double share() const;

    Options m_options;
    std::vector<Replica> m_replicas;
    std::map<std::string, State, std::less<>> m_states; ///< By incarnation.
    bool m_isBrittle = false;
    int m_maxRejections = 0;
    std::string m_reporter;
    TimePoint m_brittleSince;
    TimePoint m_lastEvidenceAt = TimePoint::min();
    TimePoint m_lastPlainAt = TimePoint::min(); ///< Last answer without the header.
    TimePoint m_malformedLoggedAt = TimePoint::min();
    int m_routers = 1;
    TimePoint m_routersAt = TimePoint::min(); ///< When m_routers was the number known last.
    TimePoint m_drawnAt = TimePoint::min();
    bool m_arePermitsCurrent = false;
    double m_permitPhase = 0; ///< Decides the rounding of permits.
    double m_budgetPhase = 0; ///< Decides the rounding of the rejection budget.
    std::deque<TimePoint> m_refusals; ///< Of the last second, at most MaxCountedRefusals.
    Totals m_totals;
};

} // namespace catkinloft
