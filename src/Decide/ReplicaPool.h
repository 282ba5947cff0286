#pragma once

#include "Base/Clock.h"
#include "Base/Mechanisms.h"
#include "Base/Random.h"
#include "Base/ReplicaRecord.h"
#include "Decide/HealthTracker.h"
#include "Decide/PromptIndex.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Parts of prompts by incarnation of a replica.
using PromptsByReplica = std::map<std::string, std::vector<std::uint64_t>, std::less<>>;

/// \brief Requests in progress by incarnation of a replica.
using ReplicaCounts = std::map<std::string, int, std::less<>>;

/// \brief What one router tells the others of replicas.
struct ReplicaStatusUpdate
{
    std::vector<std::string> leaving =
            {}; ///< Incarnations that have told the router that they leave.
    ReplicaCounts counts = {}; ///< Its requests in progress, without replicas that have none.
    std::vector<std::string> ejected = {}; ///< Incarnations that it sends nothing to: they fail.
};

/// \brief Which replica of one service gets a request.
///
/// Load: returning chats whose prompts share long parts, and short calls, on routers that each see
/// a share of both. Harm prevented: a replica with more than twice the mean delays every token of
/// the requests that run on it, while a chat that moves has its whole prompt read again (130 ms of
/// a replica for 10,500 tokens at 81.9 tokens a millisecond). So a prompt goes where most of it is
/// kept, within a bound on the load; where several are equal, its rendezvous order decides, so that
/// routers agree before they have heard of each other's choices. A prompt that has to move names
/// the replica that keeps it: copying 10,500 tokens takes 3 ms of a link instead of reading them.
/// A call goes where least is in progress.
///
/// Replicas are told apart by incarnation(): one that starts again under its id holds nothing, and
/// what was known of its health, load and prompts would mislead.
///
/// Counts of the other routers are some hundred milliseconds old. They are hints: a wrong one makes
/// a request slower and breaks no promise.
///
/// A replica that fails is found by each router after three failures in a row. Where each router
/// sends it one call a second, that costs 73 routers some 220 calls, so they tell each other: what
/// three others have ejected gets nothing here either, unless it has just answered well here, since
/// it may fail for some callers only. Calls that may be repeated find out whether it is well again.
/// A replica in an evacuated failure domain gets nothing on any way; a cold one no more than its
/// share of what it bears, \sa ColdRateLimit. Both hold where no other replica is left.
///
/// An engine that falls silent is ejected at its first overdue answer: of 28 silent ones among 140
/// that halves the requests that are sent there in eight seconds.
class ReplicaPool
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        std::string failureDomain = {}; ///< Of this router.
        bool isEngine = false; ///< Replicas keep prompts in memory.
        Mechanisms mechanisms = {};
        std::function<std::string(const std::string &domain)> regionOf = [](const std::string &) {
            return std::string();
        };
        std::function<int()> routers = [] { return 1; }; ///< How many there are.
        /// Whether this router is one of the \a n that may send to \a replica while it is cold.
        std::function<bool(std::string_view replica, std::size_t n)> isColdSender =
                [](std::string_view, std::size_t) { return true; };
    };

    /// \brief What matters about a request.
    struct Query
    {
        std::span<const PromptPart> prompt = {}; ///< Parts that other requests may share.
        std::span<const std::string> excluded = {}; ///< Incarnations on which an attempt failed.
        std::span<const std::string> only = {}; ///< If not empty: no others may be chosen.
        bool retryable = true; ///< It may be sent once more where a replica fails it.
        /// Regions of replicas that its route and its workspace allow; empty: all.
        std::span<const std::string> regions = {};
        std::span<const std::string> workspaceRegions = {};
    };

    /// \brief Where a request goes.
    struct Choice
    {
        const ReplicaRecord *replica = nullptr; ///< Null: none can take it.
        const ReplicaRecord *copyFrom = nullptr; ///< Keeps more of the prompt; null: none does.
        int load = 0; ///< Requests in progress on the replica, as far as known.
        double meanLoad = 0; ///< Over the replicas that it was chosen from.
        int candidates = 0; ///< How many those were.
        double cachedPromptTokens = 0; ///< Of the prompt, that the replica is believed to keep.
    };

    explicit ReplicaPool(Options options);

    /// \brief Takes over the registered replicas; those that stay keep counts and health.
    void setReplicas(std::span<const ReplicaRecord> replicas);

    /// \brief Sends nothing more to replicas in \a domains. Those of domains that are taken back
    /// count as cold until their entries can have told whether they are.
    void setEvacuated(std::set<std::string> domains);

    /// \brief Notes that replica \a id could not be reached or has ended: if it comes back, it is
    /// cold before its entry says so.
    void noteUnreachable(std::string_view id);

    /// \brief Sets the requests that a cold replica bears in one second from all routers together;
    /// 0: replicas are never cold.
    void setColdRateLimit(double requests) { m_coldRateLimit = requests; }

    /// \brief Takes over what \a router told at \a heard.
    void applyStatusUpdate(const std::string &router, ReplicaStatusUpdate news, TimePoint heard);

    /// \returns the replica for \a query.
    Choice choose(const Query &query);

    /// \brief Counts a request that is being sent to replica \a id, which reads \a prompt.
    void started(std::string_view id, std::span<const PromptPart> prompt = {});

    /// \brief Notes that another router sent \a parts of a prompt to replica \a id.
    void notePrompt(std::string_view id, std::span<const std::uint64_t> parts);

    /// \returns parts of prompts by the id of the replica that is believed to keep them, at most
    /// \a most in all.
    PromptsByReplica prompts(std::size_t most) const;

    /// \returns whether nothing is known of prompts that replicas keep.
    bool isPromptIndexEmpty() const { return m_prompts.isEmpty(); }

    /// \brief Takes the count back and judges the replica by \a report.
    /// \returns whether the replica was ejected by it, which the other routers should hear.
    bool finished(std::string_view id, const AttemptReport &report);

    /// \brief Leaves \a id out for \a pause, because it asked for that, refused a connection or is
    /// another replica. A longer pause stays, also where its entry goes and comes back.
    void excludeFor(std::string_view id, Duration pause);

    /// \returns how long all replicas that do not leave are still left out; zero where one is not,
    /// or there is none.
    Duration timeUntilAvailable() const;

    /// \returns what the other routers should know.
    ReplicaStatusUpdate ownStatusUpdate() const;

    /// \returns requests in progress on replica \a id over all routers, as far as known.
    int inProgress(std::string_view id) const;

    std::size_t size() const { return m_states.size(); }

    /// \returns whether replica \a id is registered and has not said that it leaves.
    bool isServing(std::string_view id) const;

    /// \returns what registered replicas run, \sa ReplicaRecord::software
    std::vector<std::string> software() const;

    /// \returns replicas that are registered, not draining and not known to be unreachable.
    std::size_t usableCount() const;

    const HealthTracker &health() const { return m_health; }

private:
    struct State
    {
        ReplicaRecord record;
        std::string incarnation;
        std::uint64_t hash = 0;
        int own = 0; ///< Requests in progress from this router.
        int others = 0; ///< The same from the others, as last heard.
        int ejectedByPeers = 0; ///< Other routers that have ejected it, as last heard.
        TimePoint lastSuccessAt = {}; ///< Its last good answer to this router.
        TimePoint excludedUntil = {};
        TimePoint assumedColdUntil = {}; ///< Its entry may not tell yet that it is.
        TimePoint lastSentAt = TimePoint::min(); ///< The last request from this router.
        bool isColdSender = false; ///< \sa Options::isColdSender, as of senderCheckedAt.
        TimePoint senderCheckedAt = TimePoint::min();
        HealthTracker::Entry health = {};
    };
    struct ReceivedUpdate
    {
        ReplicaStatusUpdate news;
        TimePoint at;
    };
    struct Candidate
    {
        State *state = nullptr;
        double load = 0; ///< Requests in progress, all routers.
        double cost = 0; ///< Of placing the prompt here, in tokens to be read.
    };

    State *find(std::string_view id);
    const State *find(std::string_view id) const;
    Choice makeChoice(const State &it, std::span<const PromptPart> prompt, double total,
                      std::size_t n) const;
    std::vector<Candidate> candidates(const Query &query, bool checkHealth);
    bool isHealthy(State &it, const Query &query, bool usePeerEjections);
    bool isEligible(State &it, const Query &query, TimePoint now) const;
    bool isRegionAllowed(const State &it, const Query &query) const;
    bool isEvacuated(const State &it) const;
    bool isColdRateLimited(State &it, TimePoint now) const;
    bool isEjectedByPeers(const State &it) const;
    bool mayUsePeerEjections() const;
    State *chooseByPrompt(std::vector<Candidate> &list, std::span<const PromptPart> prompt) const;
    static State *chooseByRendezvous(const std::vector<Candidate> &list, std::uint64_t key);
    State *chooseByLoad(const std::vector<Candidate> &list) const;
    const ReplicaRecord *copySource(const State &target, std::span<const PromptPart> prompt) const;
    void rebuildIndex();
    void removeExpiredUpdates();
    void add(const ReplicaStatusUpdate &news, int sign);
    void updateBaseline();

    Options m_options;
    std::vector<State> m_states;
    std::map<std::string, std::size_t, std::less<>> m_index; ///< Into m_states, by incarnation.
    std::map<std::string, TimePoint, std::less<>> m_exclusions; ///< Of replicas without an entry.
    std::map<std::string, ReceivedUpdate> m_receivedUpdates; ///< By router.
    std::set<std::string> m_evacuated; ///< Failure domains.
    double m_coldRateLimit = 0; ///< \sa setColdRateLimit()
    TimePoint m_expiryCheckedAt;
    HealthTracker m_health;
    PromptIndex m_prompts;
    TimePoint m_baselineAt;
};

} // namespace catkinloft
