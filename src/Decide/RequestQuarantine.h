#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Decide/CrashRecord.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinloft {

/// \brief What one router announces to the others about a request that may crash replicas. Times
/// are sent as ages because the clocks of routers differ.
struct CrashUpdate
{
    struct Crash
    {
        std::string replica = {}; ///< Incarnation of the replica.
        std::string software = {}; ///< \sa ReplicaRecord::software
        Duration age = Duration::zero();
        Duration runTime = ReplicaCrash::UnknownRunTime; ///< \sa ReplicaCrash::runTime
        bool isConfirmed = true; ///< \sa ReplicaCrash::isConfirmed
        bool isTrial = false; ///< \sa ReplicaCrash::isTrial
    };

    std::string fingerprint = {}; ///< Of the request, or RequestQuarantine::partKey().
    std::optional<Duration> clearedAge = {}; ///< Time after the last completed run, if any.
    std::vector<Crash> replicaCrashes = {};
    bool isHeld = false; ///< The sender holds back all requests with it.
    std::optional<Duration> trialAge = {}; ///< Time since the sender began a trial that still runs.
};

/// \brief Holds back requests that crash the replicas that run them, at every router of the fleet.
///
/// Handles a request whose input crashes the software that runs it and that is sent repeatedly
/// among the usual traffic. Prevents its runs from terminating one replica after another, each for
/// several seconds and with all other requests on it, until the service has no replica left.
///
/// Every request in progress on a crashed replica is suspected, although most of them are harmless.
/// Three rules separate them:
/// - A completed run clears its request. Harmless requests that many callers send complete often.
/// - Crashes that occur close in time form one incident, so that the loss of a rack does not
///   cause any request to be held back.
/// - If two requests share crashes, only the one with more incidents is held back, and only after
///   the updates of other routers had time to arrive. A request that was wrongly held back is
///   released when other held requests explain all its crashes. One that shares a single crash with
///   them, or with equally suspected ones, is held too, and tried soon:
///   popular requests run on many replicas, so that a shared crash proves little.
///
/// The cause may also be one part of a prompt that requests share, in requests of which no two are
/// alike. Each shared part of a prompt is therefore a suspect of its own, with the same rules and
/// two more, because a part like a system prompt is in nearly every request:
/// - Parts that were in all crashed runs together can't be told apart, so they are held back as a
///   combination: only requests that contain all of them.
/// - A single part is held back only if another part in requests to its service was cleared after
///   its first crash, here or at a router that holds it. Without any completed run, it may be what
///   all requests have in common.
/// A request that is held back explains its crashes, so that its parts are not held back for them.
///
/// If most replicas of a service crash at the same moment, no router can tell this from the loss of
/// its own paths, and nobody confirms the crashes. Crashes that are not confirmed count too,
/// because otherwise a request that crashes all replicas would never be held back. A request
/// without enough confirmed ones is tried soon, so that one that lost paths broke is released.
///
/// Routers announce evidence to each other and merge it; each router decides independently. The
/// evidence of a first incident goes only to the few routers that hold the evidence of the request,
/// because the loss of a rack makes tens of thousands of requests suspected. After a second
/// incident the evidence goes to all routers, which forward it. Memory and message size are
/// bounded; requests with more incidents have priority. What is held back is also kept in the
/// platform's store, for the case that all routers restart at once. \sa QuarantineRow
///
/// A trial shows what a request that is held in doubt does: if it completes, the request is
/// released; if it crashes a replica, all routers hold the request for the whole hold time. Routers
/// announce a trial, so that they run one at a time. A trial whose outcome nobody can tell may have
/// crashed a replica too, so each further one comes later.
class RequestQuarantine
{
public:
    /// Number of incidents after which a request is held back. Two incidents also happen to a
    /// harmless request that was retried after the first one.
    static constexpr int MinIncidents = 3;

    /// How long a request is held back after its last crash when it has MinIncidents incidents. The
    /// time doubles with each further incident.
    static constexpr Duration MinHoldTime = std::chrono::minutes(10);

    /// Longest time between the first record of a crash and the records of the other requests that
    /// it broke. Connections break within milliseconds; the rest allows for a proxy in front of the
    /// replica and for the network delay, which makes the ages in updates inaccurate.
    static constexpr Duration CrashDetectionSpread = std::chrono::milliseconds(250);

    struct Options
    {
        const Clock &clock;
        RandomSource random;
        /// Returns the number of routers that may each try the request after its hold time. Their
        /// trials are distributed over time.
        std::function<int()> routers = [] { return 1; };
        /// Called when updates should be announced to the other routers at once.
        std::function<void()> announceNow = {};
        /// Called when a request is held back, or not any more.
        std::function<void()> heldChanged = [] {};
        std::size_t maxRecords = 4096; ///< Maximum number of stored requests.
    };

    /// \brief What a router observed of a crash that broke a request.
    struct CrashReport
    {
        std::string replica = {}; ///< Incarnation of the replica.
        std::string software = {}; ///< That it ran.
        TimePoint at = {};
        /// When the request was sent to the replica; TimePoint::min(): not known.
        TimePoint sentAt = TimePoint::min();
        /// When the replica was last known to run; after an earlier crash it has restarted.
        TimePoint provenAt = TimePoint::min();
        bool isConfirmed = true; ///< \sa ReplicaCrash::isConfirmed
    };

    /// \brief The evidence and the remaining time of a request that is held back.
    struct Hold
    {
        std::string fingerprint = {}; ///< Of a request, or partKey().
        std::vector<std::string> tiedParts = {}; ///< Only requests with these parts as well.
        std::vector<std::string> replicas = {}; ///< Incarnations that crashed while running it.
        std::vector<std::string> software = {}; ///< Software of these replicas.
        Duration remaining = Duration::zero(); ///< Time until the next trial is allowed.

        /// \returns the fingerprint and the tied parts.
        std::vector<std::string> suspects() const
        {
            std::vector<std::string> out = {fingerprint};
            out.insert(out.end(), tiedParts.begin(), tiedParts.end());
            return out;
        }
    };

    explicit RequestQuarantine(Options options) : m_options(std::move(options)) { }

    /// \returns whether no request is stored, in which case no fingerprint has to be computed.
    bool isEmpty() const { return m_records.empty(); }

    /// What may have crashed a replica: the fingerprint of a request, and the keys of the prompt
    /// parts that it shares with others.
    using Suspects = std::span<const std::string>;

    /// \returns the key of the prompt part \a id in requests to \a service.
    static std::string partKey(std::string_view service, std::uint64_t id);

    /// \returns whether a request with \a suspects is held back, in which case admit() must be
    /// called before the request is sent.
    bool isHeld(Suspects suspects) const;
    bool isHeld(const std::string &suspect) const { return isHeld({&suspect, 1}); }

    /// \brief Checks whether a request with \a suspects may be sent to a replica now.
    ///
    /// After the hold time, or when no replica runs the software that crashed, the router admits
    /// one run at a time as a trial that shows whether the request still crashes replicas.
    ///
    /// \param software that is run by the replicas which could receive the request.
    /// \returns std::nullopt if the request may be sent, otherwise why and how long it is held.
    std::optional<Hold> admit(Suspects suspects, std::span<const std::string> software);
    std::optional<Hold> admit(const std::string &suspect, std::span<const std::string> software)
    {
        return admit({&suspect, 1}, software);
    }

    /// \brief Records that a request with \a suspects that was admitted is sent to a replica. If it
    /// is a trial, the other routers wait for its outcome from now on.
    void sent(Suspects suspects);
    void sent(const std::string &suspect) { sent({&suspect, 1}); }

    /// \brief Records a crash of a replica that worked on a request with \a suspects.
    void replicaCrashed(Suspects suspects, const CrashReport &report);

    /// \brief Records that \a replica, which ran \a software, crashed at \a at while it worked on a
    /// request with \a suspects.
    void replicaCrashed(Suspects suspects, const std::string &replica, const std::string &software,
                        TimePoint at)
    {
        replicaCrashed(suspects, {.replica = replica, .software = software, .at = at});
    }
    void replicaCrashed(const std::string &suspect, const std::string &replica,
                        const std::string &software, TimePoint at)
    {
        replicaCrashed({&suspect, 1}, replica, software, at);
    }

    /// \returns the incarnation of the replica whose crash is recorded as \a crashName: a replica
    /// that restarted without a change of its registration has several crashes.
    static std::string_view incarnationOf(std::string_view crashName);

    /// \brief Records that a run of a request with \a suspects completed, which clears them.
    void completed(Suspects suspects);
    void completed(const std::string &suspect) { completed({&suspect, 1}); }

    /// \returns the highest number of incidents of any of \a suspects. If a suspect is not held
    /// back, incidents that another held one explains are not included.
    int suspicion(Suspects suspects) const;
    int suspicion(const std::string &suspect) const { return suspicion({&suspect, 1}); }

    /// \returns when \a replica last crashed, if requests that it was running are stored.
    std::optional<TimePoint> crashedAt(const std::string &replica) const;

    /// \returns whether the crash \a crashName, as in CrashUpdate::Crash::replica, is recorded.
    bool knowsCrash(const std::string &crashName) const { return m_crashTimes.contains(crashName); }

    /// \brief Merges the updates that another router sent.
    void merge(std::span<const CrashUpdate> updates);

    /// \returns the updates that the next message to all other routers has to carry, and counts
    /// them as sent.
    std::vector<CrashUpdate> takeUpdates();

    /// \returns the updates about requests with a single incident, and counts them as sent. Each
    /// goes only to the routers that hold the evidence of its request.
    std::vector<CrashUpdate> takeFirstCrashes();

    /// \returns the evidence against the requests that are held back, against the parts that can't
    /// be told apart from held ones, and against other suspects of the same crashes with more than
    /// one incident: if a run clears what is held, they are the cause. At most \a n records; what
    /// is held and has most incidents comes first.
    std::vector<CrashUpdate> heldRecords(std::size_t n) const;

    /// \returns all requests that are held back.
    std::vector<Hold> held() const;

    /// \returns the number of stored requests: suspected, held back or recently cleared.
    std::size_t size() const { return m_records.size(); }

private:
    struct Entry
    {
        CrashRecord record = {};
        int incidents = 0; ///< Number of incidents.
        int confirmedIncidents = 0; ///< Incidents with a confirmed crash.
        int unexplainedIncidents = 0; ///< Incidents that no held request explains.
        bool isHeld = false;
        bool isHeldElsewhere = false; ///< As announced by another router or found in the store.
        bool hasFailedTrial = false; ///< A trial crashed a replica, and nothing else explains it.
        /// Parts that were in all of its crashed runs: only requests with all of them are held.
        std::vector<std::string> tiedParts = {};
        TimePoint heldAt = {}; ///< When it was last put on hold.
        /// Since when other requests, or lost paths, may have caused so many of its crashes that it
        /// would not be held for the remaining ones.
        std::optional<TimePoint> doubtfulSince = {};
        bool announceToAll = false; ///< Has had at least two incidents.
        int remainingSends = 0; ///< Number of messages that still have to carry it.
        TimePoint lastSentAt = {};
        double trialPosition = 0; ///< Random share of the maximum trial delay, from 0 to 1.
        std::optional<TimePoint> softwareGoneAt = {}; ///< Since when no replica runs that software.
        /// When the last trial, of this or another router, times out; TimePoint::min() if there
        /// was none or its outcome is known.
        TimePoint trialEndsAt = TimePoint::min();
        int unresolvedTrials = 0; ///< Trials that were sent since the last known outcome.
        TimePoint ownTrialAt = TimePoint::min(); ///< When this router admitted its last trial.
        bool isOwnTrialSent =
                false; ///< No trial has been sent if it was refused for another reason.
        TimePoint notHeldLoggedAt = TimePoint::min(); ///< \sa logNotHeld()
    };
    using Records = std::unordered_map<std::string, Entry>;

    /// \brief What the crashes of a suspect with at least MinIncidents show.
    enum class Finding : std::uint8_t {
        Unproven,
        Plausible, ///< Other requests may have caused some of its crashes, but not all.
        Proven, ///< Enough crashes have no other explanation.
    };

    void scheduleAnnouncement(Entry &entry, bool isOwn);
    void reannounceOne(TimePoint now);
    void updateCrashTimes(const CrashRecord &record);
    bool wasRunning(const ReplicaCrash &crash) const;
    void countIncidents(Entry &entry) const;
    void update(Entry &entry);
    bool applies(const Entry &entry, Suspects suspects) const;
    std::optional<Hold> admitOne(const std::string &suspect, Entry &entry,
                                 std::span<const std::string> software);
    std::string crashName(const std::string &replica, TimePoint provenAt) const;
    static std::string crashName(const std::string &replica, int restarts);
    void recordCrash(const std::string &suspect, ReplicaCrash crash, TimePoint sentAt);
    void beginTrial(const std::string &fingerprint, Entry &entry);
    bool isOwnTrialRunning(const Entry &entry) const;
    static void noteTrial(Entry &entry, TimePoint endsAt);
    static void forgetTrials(Entry &entry);
    void recordCompletion(const std::string &suspect);
    void decide();
    void decideRequests(std::span<Records::value_type *const> suspects);
    void decideParts(std::span<Records::value_type *const> suspects);
    void setState(Records::value_type &suspect, Finding finding);
    std::vector<std::string> partsTiedWith(const Records::value_type &suspect,
                                           std::span<Records::value_type *const> suspects) const;
    bool hasClearedOther(std::string_view part, const Entry &entry) const;
    bool hasFailedTrial(const Entry &entry) const;
    void logNotHeld(const std::string &fingerprint, Entry &entry) const;
    bool isTied(const Entry &entry, std::span<Records::value_type *const> suspects) const;
    int ownIncidents(const Entry &entry, std::span<Records::value_type *const> suspects) const;
    void setHeld(const std::string &fingerprint, Entry &entry, bool held);
    Entry &findOrInsert(const std::string &fingerprint);
    void evictRecords();
    void removeExpired();
    Hold describe(const std::string &fingerprint, const Entry &entry) const;
    TimePoint settledAt(const Entry &entry) const;
    TimePoint trialAllowedAt(const Entry &entry) const;
    TimePoint nextTrialAt(const Entry &entry) const;
    Duration trialDelay(const Entry &entry) const;
    static Duration holdTime(const Entry &entry);
    static Duration lifetime(const Entry &entry);
    CrashUpdate makeUpdate(const std::string &fingerprint, const Entry &entry) const;
    static CrashRecord toRecord(const CrashUpdate &crashUpdate, TimePoint now);

    Options m_options;
    Records m_records; ///< By fingerprint.
    std::set<std::string, std::less<>> m_explained; ///< Replicas that held requests crashed.
    /// When each replica crashed, by crashName(): the earliest time that any router observed.
    std::unordered_map<std::string, TimePoint> m_crashTimes;
    TimePoint m_reannouncedAt = TimePoint::min(); ///< When reannounceOne() last chose a request.
};

} // namespace catkinloft
