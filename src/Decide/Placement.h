#pragma once

#include "Base/Inventory.h"
#include "Base/Random.h"
#include "Decide/ChatOrder.h"
#include "Decide/ConcurrencyLimit.h"
#include "Decide/HealthTracker.h"
#include "Decide/Job.h"
#include "Decide/LoadReport.h"
#include "Decide/OwnerGroups.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinloft {

/// \brief Chooses the upstream of a pool for a job: the first one in the chat's order that stays
/// within the load bound (consistent hashing with bounded loads).
///
/// Handles returning chats of workspaces of very different sizes, on routers that each receive a
/// small part of the traffic. Prevents both overload of one engine by a surge, as with hashing
/// alone, and loss of the cached context of chats, as with load balancing alone. The load of each
/// engine is limited to `rules.load_bound` times the mean. Only jobs above this bound move, and a
/// chat always moves to the same next engine.
class Placement
{
public:
    /// \brief One engine or replica of the inventory.
    struct Upstream
    {
        std::string name;
        std::string address;
        std::string failureDomain;
        double weight = 1;
        int slots = 32;
        bool leaving = false;
    };

    struct Options
    {
        const Clock &clock;
        RandomSource random;
        std::string failureDomain; ///< Of this router.
        int ownerGroup = OwnerGroups::DefaultSize;
    };

    /// \brief The load that start() added, which stop() subtracts.
    struct Running
    {
        std::uint64_t upstream = 0; ///< Hash of its name.
        double work = 0;
        bool relayed = false;
    };

    static constexpr std::size_t None = ChatOrder::None;

    explicit Placement(Options options);

    /// \brief Replaces the upstreams. Those that stay in the pool keep their load and health.
    /// \param pool hash of the pool's name. \sa OwnerGroups::OwnerGroups
    void setUpstreams(std::vector<Upstream> upstreams, const Rules &rules, std::uint64_t pool = 0);

    /// \brief Records what other routers have in progress. Each report replaces the previous one of
    /// its router about its upstream.
    void addReports(std::span<const LoadReport> reports);

    /// \brief Removes expired reports and recomputes the values that depend on time.
    void refresh();

    /// \param hint an upstream on which a job just ended; tried after the chat's order.
    /// \returns an upstream that has capacity for \a job, or None.
    std::size_t choose(const Job &job, std::size_t hint = None);

    /// \returns the group of upstream \a i. One router owns the group and counts its load.
    std::uint64_t groupOf(std::size_t i) const { return m_states[i].group; }

    /// \brief Sets whether this router owns upstream \a i, so that its own count is exact.
    void setOwned(std::size_t i, bool owned) { m_states[i].owned = owned; }

    /// \returns the first usable upstream in the order of \a job, even if it has no capacity; None
    /// if there is none.
    std::size_t firstUsable(const Job &job);

    /// \returns whether the pool has an upstream that is neither leaving nor excluded for \a job.
    bool hasCandidate(const Job &job);

    /// \brief Adds \a job to the load of upstream \a i. The owner counts a relayed job
    /// instead.
    Running start(std::size_t i, const Job &job, bool relayed);

    /// \brief Subtracts a finished job from the load and records the outcome of its attempt.
    /// \returns the upstream on which the job ran; None if it left the pool or the job was relayed.
    std::size_t stop(const Running &running, const AttemptReport &report);

    const Upstream &upstream(std::size_t i) const { return m_states[i].upstream; }
    std::size_t size() const { return m_states.size(); }

    /// \returns the known work in progress on upstream \a i, in tokens.
    double loadOf(std::size_t i) const;

    /// \returns the mean known work per unit of weight, in tokens.
    double meanLoad() const;

    /// \returns the load bound of upstream \a i. It accepts a job of \a work while its load is
    /// below the bound.
    double boundOf(std::size_t i, double work) const;

    /// \returns the load that this router itself sends to upstreams, for the other routers.
    std::vector<LoadReport> ownLoad(const std::string &self) const;

    const HealthTracker &health() const { return m_health; }
    const HealthTracker::Entry &healthOf(std::size_t i) const { return m_states[i].health; }

private:
    struct PeerLoad
    {
        std::uint64_t router = 0;
        double work = 0;
        int inFlight = 0;
        TimePoint at;
    };

    struct State
    {
        Upstream upstream;
        std::uint64_t id = 0;
        std::uint64_t group = 0;
        double work = 0; ///< In progress, sent by this router.
        int inFlight = 0;
        std::vector<PeerLoad> peerLoads;
        double peerWork = 0;
        int peerInFlight = 0;
        HealthTracker::Entry health;
        ConcurrencyLimit limit;
        bool owned = true;
        bool countsInMean = false; ///< Included in the totals.
        double ramp = 1; ///< Slow-start factor when it was last computed.
        TimePoint lastBusy;
    };

    bool isUsable(const State &it) const;
    static double knownWork(const State &it);
    static int knownInFlight(const State &it);
    bool fits(std::size_t i, const Job &job);
    static bool isExcluded(const State &it, const Job &job);
    void buildGroups(std::uint64_t pool);
    std::size_t chooseInGroup(const Job &job, std::size_t first);
    std::size_t chooseByLoad(const Job &job);
    std::size_t scan(const Job &job, std::size_t first);
    void addToTotals(State &it, double sign);
    void recount();
    static void sumPeerLoads(State &it);
    void joined(State &it, const std::string &name);

    Options m_options;
    Rules m_rules;
    std::vector<State> m_states;
    std::unordered_map<std::uint64_t, std::size_t> m_byId;
    struct Setbacks
    {
        int count = 0;
        TimePoint at;
    };
    std::map<std::string, Setbacks> m_setbacks; ///< Of upstreams that joined, by name.
    ChatOrder m_order;
    std::unordered_map<std::uint64_t, std::vector<std::size_t>> m_groups;
    HealthTracker m_health;
    TimePoint m_now; ///< Time of the current call.
    TimePoint m_baselineAt;
    double m_totalWork = 0;
    double m_totalWeight = 0;
    double m_rampedWeight = 0;
    bool m_isInitial = true;
};

} // namespace catkinloft
