#pragma once

#include "Base/Clock.h"
#include "Base/Mechanisms.h"
#include "Base/Random.h"
#include "Base/ReplicaRecord.h"
#include "Decide/HealthTracker.h"
#include "Decide/PromptIndex.h"
#include "Decide/RejectionLimit.h"
#include "Decide/ReplicaLoad.h"
#include "Decide/ReplicaSpeed.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Cached prompt parts by incarnation of a replica.
using PromptsByReplica = std::map<std::string, std::vector<std::uint64_t>, std::less<>>;

/// \brief Requests in progress by incarnation of a replica.
using ReplicaCounts = std::map<std::string, int, std::less<>>;

/// \brief What one router announces to the others about replicas.
struct ReplicaStatusUpdate
{
    /// Incarnations that have notified the router that they are leaving.
    std::vector<std::string> leaving = {};
    /// Requests in progress from the router; replicas without any are omitted.
    ReplicaCounts counts = {};
    /// Incarnations that the router has ejected because they fail.
    std::vector<std::string> ejected = {};
};

/// \brief Chooses the replica of one service that a request is sent to.
///
/// Handles returning chats whose prompts have long parts in common, and short calls, on routers
/// that each see a share of both. Prevents two kinds of delay: a replica with more than twice the
/// mean load delays every token of the requests that run on it, and a chat that moves to another
/// replica has its whole prompt processed again (130 ms of a replica for 10,500 tokens at 81.9
/// tokens a millisecond). Therefore a prompt is sent to the replica that has cached most of it,
/// within a limit on the load. Among equal replicas the rendezvous order of the prompt decides, so
/// that routers agree before they have received each other's choices. If a prompt has to move, the
/// choice names the replica that has cached it: copying 10,500 tokens occupies a link for 3 ms,
/// much less than processing them again takes. A call is sent to the replica with the fewest
/// requests in progress.
///
/// Replicas work at different speeds: some are always slower, others run on shared machines that
/// are slow for half a second. The time that a replica takes is a factor on the load and on the
/// tokens that it would have to process, \sa ReplicaSpeed. A prompt does not wait for a slot while
/// other engines have free ones, because processing it again takes less time than another request
/// that must end first. Calls prefer replicas by expected time, but at random, since the routers
/// that received the same reports would otherwise all choose the same replica.
///
/// Replicas are identified by incarnation(): a replica that restarts under the same id has an empty
/// cache, and the former health, load and prompts do not apply to it.
///
/// Request counts of the other routers are a few hundred milliseconds old. They are only hints: a
/// wrong count makes a request slower, but has no effect on correctness.
///
/// Each router ejects a failing replica after three failures in a row. If each of 73 routers sends
/// it one call per second, this costs about 220 calls, so routers announce their ejections. A
/// replica that three other routers have ejected gets no requests from this one either, unless it
/// has just answered successfully here, since it may fail only for some callers. Retryable calls
/// probe whether it has recovered.
///
/// A replica in an evacuated failure domain gets no requests at all; a cold one at most this
/// router's part of its rate limit, \sa ColdRateLimit. Both rules apply also if no other replica is
/// left. While a service is brittle, a replica gets no more than RejectionLimit admits.
///
/// An engine is ejected at its first timeout. A router sends each engine so few requests that
/// waiting for a third timeout would about double the requests lost to unresponsive engines.
class ReplicaPool
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        std::string failureDomain = {}; ///< Failure domain of this router.
        bool isEngine = false; ///< Replicas have a prefix cache.
        Mechanisms mechanisms = {};
        std::function<std::string(const std::string &domain)> regionOf = [](const std::string &) {
            return std::string();
        };
        std::function<int()> routers = [] { return 1; }; ///< Number of routers in the fleet.
        /// Whether this router is one of \a n routers that may send to \a replica while it is cold.
        std::function<bool(std::string_view replica, std::size_t n)> isColdSender =
                [](std::string_view, std::size_t) { return true; };
        std::shared_ptr<RejectionLimit> rejections = {}; ///< Null: rejections are not limited.
    };

    /// \brief Properties of a request that the choice depends on.
    struct Query
    {
        std::span<const PromptPart> prompt = {}; ///< Parts that other requests may have in common.
        std::span<const std::string> excluded = {}; ///< Incarnations on which an attempt failed.
        std::span<const std::string> only = {}; ///< If not empty: the only incarnations allowed.
        /// If set: only replicas with this software. \sa ReplicaRecord::software
        std::optional<std::string_view> software = {};
        /// The request may probe whether an ejected replica has recovered: it is a first attempt
        /// and may be retried.
        bool mayProbe = true;
        /// Regions of replicas that the route and the workspace allow; empty: all.
        std::span<const std::string> regions = {};
        std::span<const std::string> workspaceRegions = {};
    };

    /// \brief Result of choose().
    struct Choice
    {
        const ReplicaRecord *replica = nullptr; ///< Null: no replica can take the request.
        const ReplicaRecord *copyFrom = nullptr; ///< Has cached more of the prompt; null: none has.
        int load = 0; ///< Known requests in progress on the replica.
        double meanLoad = 0; ///< Mean load of the candidates.
        int candidates = 0; ///< Number of replicas that the replica was chosen from.
        double cachedPromptTokens =
                0; ///< Estimate of the prompt's tokens that the replica has cached.
    };

    explicit ReplicaPool(Options options);

    /// \brief Sets the registered replicas; known incarnations retain their counts and health.
    void setReplicas(std::span<const ReplicaRecord> replicas);

    /// \brief Excludes all replicas in \a domains. Replicas of a domain that is no longer evacuated
    /// are assumed to be cold until their registry entries are up to date.
    void setEvacuated(std::set<std::string> domains);

    /// \brief Records that replica \a id was unreachable or has terminated. It is excluded for
    /// \a pause; if it returns, it is assumed to be cold until its registry entry is up to date.
    void noteUnreachable(std::string_view id, Duration pause);

    /// \brief Revokes the effects of noteUnreachable() and of failed requests on replica \a id,
    /// because the path to it failed and not the replica.
    void forgetFailures(std::string_view id);

    /// \brief Sets whether requests reach unreachable replicas through another router. Then
    /// noteUnreachable() has no effect on the choice.
    void setRelaying(bool relaying) { m_relaying = relaying; }

    /// \brief Sets the rate limit of a cold replica, in requests per second from all routers
    /// together; 0: no limit.
    void setColdRateLimit(double requestsPerSecond) { m_coldRateLimit = requestsPerSecond; }

    /// \brief Replaces the last update of \a router by \a update.
    void applyStatusUpdate(const std::string &router, ReplicaStatusUpdate update,
                           TimePoint receivedAt);

    /// \returns the replica that a request with the properties \a query should be sent to.
    Choice choose(const Query &query);

    /// \brief Counts a request with \a prompt that is being sent to replica \a id.
    void started(std::string_view id, std::span<const PromptPart> prompt = {});

    /// \brief Records that another router sent \a parts of a prompt to replica \a id.
    void notePrompt(std::string_view id, std::span<const std::uint64_t> parts);

    /// \returns the prompt parts that each replica has probably cached, at most \a maxParts in
    /// total.
    PromptsByReplica prompts(std::size_t maxParts) const;

    /// \returns whether no cached prompts of any replica are known.
    bool isPromptIndexEmpty() const { return m_prompts.isEmpty(); }

    /// \brief Ends a request counted by started() and updates the replica's health by \a report.
    /// \returns whether this ejected the replica; the ejection should then be announced.
    bool finished(std::string_view id, const AttemptReport &report);

    /// \brief Records the \a load that replica \a id reported with an answer that has just arrived.
    void loadReported(std::string_view id, const ReplicaLoad &load);

    /// \brief Records that the events of a finished stream from engine \a id had a mean distance of
    /// \a perEvent.
    void eventTimeObserved(std::string_view id, Duration perEvent);

    /// \brief Excludes replica \a id for \a duration, because it requested a pause, refused a
    /// connection, or its address belongs to another replica. A longer exclusion remains in effect,
    /// also if the replica's entry is removed and added again.
    void excludeFor(std::string_view id, Duration duration);

    /// \returns the time until the first replica that is neither draining nor evacuated is no
    /// longer excluded; zero if one is not excluded or there is none.
    Duration timeUntilAvailable() const;

    /// \returns the update that this router announces to the others.
    ReplicaStatusUpdate ownStatusUpdate() const;

    /// \returns the known requests in progress on replica \a id from all routers.
    int inProgress(std::string_view id) const;

    std::size_t size() const { return m_states.size(); }

    /// \returns whether replica \a id is registered and not draining.
    bool isServing(std::string_view id) const;

    /// \returns the software of the registered replicas, \sa ReplicaRecord::software
    std::vector<std::string> software() const;

    /// \returns the number of replicas that are not draining, excluded or evacuated.
    std::size_t usableCount() const;

    /// \returns the number of usable replicas that get no request now so that they don't reject it.
    std::size_t heldBackCount() const;

    const HealthTracker &health() const { return m_health; }

private:
    struct State
    {
        ReplicaRecord record;
        std::string incarnation;
        std::uint64_t hash = 0;
        int ownInProgress = 0; ///< Requests in progress from this router.
        int peersInProgress = 0; ///< The same from the other routers, by their last updates.
        TimePoint peerEjectionAt = {}; ///< Last update of a router that has ejected it.
        TimePoint peersEjectedSince = {}; ///< Begin of the updates that have ejected it.
        int ejectedByPeers = 0; ///< Other routers that have ejected it, by their last updates.
        TimePoint lastSuccessAt = {}; ///< Last successful answer to this router.
        TimePoint excludedUntil = {};
        TimePoint assumedColdUntil = {}; ///< Its entry may not show it yet.
        TimePoint unreachableUntil = {}; ///< \sa noteUnreachable()
        TimePoint coldAfterReturnUntil = {}; ///< Assumed to be cold if it was down.
        TimePoint lastSentAt = TimePoint::min(); ///< Last request from this router.
        bool isColdSender = false; ///< \sa Options::isColdSender, as of senderCheckedAt.
        TimePoint senderCheckedAt = TimePoint::min();
        HealthTracker::Entry health = {};
        int invalidInRow = 0; ///< Invalid answers since the last valid one. \sa recordAnswer()
        TimePoint lastInvalidAt = TimePoint::min();
        ReplicaSpeed speed = {};
        int reportedLoad = 0; ///< Running and waiting requests by the last report.
        int reportedWaiting = 0;
        TimePoint loadReportedAt = TimePoint::min();
    };
    struct ReceivedUpdate
    {
        ReplicaStatusUpdate update;
        TimePoint receivedAt;
    };
    struct Candidate
    {
        State *state = nullptr;
        double load = 0; ///< Requests in progress from all routers.
        double cost = 0; ///< Cost of placing the prompt here, in tokens to process.
        double expectedLoad = 0; ///< The load, or a recent report of it.
        double pace = 1; ///< \sa ReplicaSpeed::pace()
        double slowness = 1; ///< \sa ReplicaSpeed::factor()
    };

    bool recordAnswer(State &it, const AttemptReport &report) const;
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
    TimePoint excludedUntil(const State &it) const;
    TimePoint coldUntil(const State &it) const;
    bool isEjectedByPeers(const State &it) const;
    bool mayUsePeerEjections() const;
    State *chooseByPrompt(std::vector<Candidate> &list, std::span<const PromptPart> prompt) const;
    static State *chooseByRendezvous(const std::vector<Candidate> &list, std::uint64_t key);
    State *chooseByLoad(const std::vector<Candidate> &list) const;
    const ReplicaRecord *copySource(const State &target, std::span<const PromptPart> prompt) const;
    void rebuildIndex();
    void removeExpiredUpdates();
    void add(const ReplicaStatusUpdate &update, int sign);
    void updateBaseline();
    double loadReportWeight(const State &it, TimePoint now) const;
    void setExpectedTime(Candidate &it, TimePoint now) const;
    void removeFull(std::vector<Candidate> &list, TimePoint now) const;
    double expectedTimeFactor() const;

    Options m_options;
    std::vector<State> m_states;
    std::map<std::string, std::size_t, std::less<>> m_index; ///< Into m_states, by incarnation.
    std::map<std::string, TimePoint, std::less<>> m_exclusions; ///< Of replicas without an entry.
    std::map<std::string, ReceivedUpdate> m_receivedUpdates; ///< Last update by router.
    std::set<std::string> m_evacuated; ///< Failure domains.
    double m_coldRateLimit = 0; ///< \sa setColdRateLimit()
    bool m_relaying = false; ///< \sa setRelaying()
    TimePoint m_expiryCheckedAt;
    HealthTracker m_health;
    PromptIndex m_prompts;
    TimePoint m_baselineAt;
    ReplicaSpeed::Baseline m_usualTime; ///< Of an event (engines) or a call.
};

} // namespace catkinloft
