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

/// \brief Which upstream of a pool a job runs on: the first of the chat's order that stays within
/// the load bound.
///
/// Load: returning chats of workspaces of very different size, on routers that each see a sliver.
/// Harm prevented: hashing alone finds the context but lets a surge heat one engine; balancing
/// alone loses the context. Bounding each engine to `rules.load_bound` times the mean keeps both:
/// only what is over the bound moves on, and always to the same next engine.
class Placement
{
public:
    /// \brief One engine or replica as the inventory has it.
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

    /// \brief What start() counted, so that stop() can take it back.
    struct Running
    {
        std::uint64_t upstream = 0; ///< Id.
        double work = 0;
        bool relayed = false;
    };

    static constexpr std::size_t None = ChatOrder::None;

    explicit Placement(Options options);

    /// \brief Takes over the upstreams; those that stay keep their load and health.
    /// \param pool hash of the pool's name, which gives pools of one group different owners.
    void setUpstreams(std::vector<Upstream> upstreams, const Rules &rules, std::uint64_t pool = 0);

    /// \brief Takes over what the other routers have in progress, replacing what \a reports name.
    void addReports(std::span<const LoadReport> reports);

    /// \brief Drops reports that are too old to mean anything and what depends on time.
    void refresh();

    /// \returns the upstream that fits \a job, or None.
    /// \param hint an upstream that was just freed; tried after the chat's own order.
    std::size_t choose(const Job &job, std::size_t hint = None);

    /// \returns the group of upstream \a i, whose load one router counts.
    std::uint64_t groupOf(std::size_t i) const { return m_states[i].group; }

    /// \brief Says whether this router owns upstream \a i, so that its own count is exact.
    void setOwned(std::size_t i, bool owned) { m_states[i].owned = owned; }

    /// \returns the first upstream in the order of \a job that is in use, full or not.
    std::size_t firstUsable(const Job &job);

    /// \returns whether any upstream could ever take \a job.
    bool hasCandidate(const Job &job);

    Running start(std::size_t i, const Job &job, bool relayed);

    /// \returns the upstream that was freed, or None where it left the pool.
    std::size_t stop(const Running &running, const AttemptReport &report);

    const Upstream &upstream(std::size_t i) const { return m_states[i].upstream; }
    std::size_t size() const { return m_states.size(); }

    /// \returns work in progress on upstream \a i as far as known, in tokens.
    double loadOf(std::size_t i) const;

    /// \returns mean work of an upstream of weight 1 as far as known.
    double meanLoad() const;

    /// \returns most work that upstream \a i may have before it takes another job of \a work.
    double boundOf(std::size_t i, double work) const;

    /// \returns what this router itself sent to upstreams, to be told to the others.
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
        double work = 0; ///< Sent by this router.
        int inFlight = 0;
        std::vector<PeerLoad> peerLoads;
        double peerWork = 0;
        int peerInFlight = 0;
        HealthTracker::Entry health;
        ConcurrencyLimit limit;
        bool owned = true;
        bool countsInMean = false; ///< Part of the mean.
        double ramp = 1; ///< Of slow start, as of the last refresh.
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
    TimePoint m_now; ///< Of the call in progress.
    TimePoint m_baselineAt;
    double m_totalWork = 0;
    double m_totalWeight = 0;
    double m_rampedWeight = 0;
    bool m_isInitial = true;
};

} // namespace catkinloft
