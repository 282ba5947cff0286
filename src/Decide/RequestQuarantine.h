#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Decide/CrashRecord.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinloft {

/// \brief What one router tells the others of a request that may end replicas. Times are ages,
/// since clocks of routers differ.
struct CrashUpdate
{
    struct Crash
    {
        std::string replica = {}; ///< Its incarnation.
        std::string software = {}; ///< \sa ReplicaRecord::software
        Duration age = Duration::zero();
    };

    std::string fingerprint = {}; ///< Of the request.
    std::optional<Duration> clearedAge = {}; ///< Since a run of it completed last.
    std::vector<Crash> replicaCrashes = {};
};

/// \brief Holds back requests that end the replicas that run them, whichever router they come to.
///
/// Load: a request whose input crashes the software that runs it, sent again and again beside the
/// usual traffic. Harm prevented: each of its runs takes a replica away for seconds, with all that
/// ran there, until the service has none left.
///
/// All that was in progress on a replica when it ended is suspect, and most of it is innocent.
/// Three things tell them apart. A run that completes clears its request, and what many callers
/// send completes all the time. Ends at one moment count once, so that a rack that is lost makes
/// nobody a culprit. And where two requests share the ends, only the one with more of them is held
/// back, and only once the news of other routers can be there; one that was held back wrongly is
/// released when the other gets ahead.
///
/// Evidence is told between routers, who merge it; each decides for itself. A first end is only
/// told to the few routers that keep the evidence of a request, since a rack that is lost makes
/// tens of thousands suspect. From the second moment on all hear of it, and pass it on. Memory and
/// bytes a message are bounded: what is suspected more goes first.
class RequestQuarantine
{
public:
    /// Moments at which replicas ended under a request before it is held back. Two happen to an
    /// innocent request that was sent again after the first.
    static constexpr int MinIncidents = 3;

    /// How long a request is held back after the last end, at first. Doubles with each further end.
    static constexpr Duration MinHoldTime = std::chrono::minutes(10);

    struct Options
    {
        const Clock &clock;
        RandomSource random;
        /// Routers that may each try the request once its time is over; they take turns.
        std::function<int()> routers = [] { return 1; };
        /// The other routers should hear the news at once.
        std::function<void()> announceNow = {};
        std::size_t maxRecords = 4096; ///< Requests that are remembered.
    };

    /// \brief Why a request is held back.
    struct Hold
    {
        std::string fingerprint = {};
        std::vector<std::string> replicas = {}; ///< Incarnations that ended under it.
        std::vector<std::string> software = {}; ///< That they ran.
        Duration remaining = Duration::zero(); ///< Until it may be tried again.
    };

    explicit RequestQuarantine(Options options) : m_options(std::move(options)) { }

    /// \returns whether nothing is suspected, so that no fingerprint is needed.
    bool isEmpty() const { return m_records.empty(); }

    /// \returns whether request \a fingerprint is held back, so that admit() has to be asked.
    bool isHeld(const std::string &fingerprint) const;

    /// \brief Asks whether request \a fingerprint may be sent to a replica now.
    ///
    /// Once its time is over, or no replica runs the software that it ended, a router lets
    /// it through once at a time to see whether it still does harm.
    ///
    /// \param software that the replicas run which could get it.
    /// \returns nothing where it may be sent.
    std::optional<Hold> admit(const std::string &fingerprint,
                              std::span<const std::string> software);

    /// \brief Notes that a replica ended while it worked on request \a fingerprint.
    void replicaCrashed(const std::string &fingerprint, const std::string &replica,
                        const std::string &software);

    /// \brief Notes that a run of request \a fingerprint completed.
    void completed(const std::string &fingerprint);

    /// \returns at how many moments replicas ended under it for which no other request is held
    /// back.
    int suspicion(const std::string &fingerprint) const;

    /// \brief Takes over what another router told.
    void merge(std::span<const CrashUpdate> updates);

    /// \returns what the next message to other routers has to tell all of them.
    std::vector<CrashUpdate> takeUpdates();

    /// \returns what is to be told to the keepers of the evidence of each request. Nobody else
    /// needs to hear that one replica ended under it.
    std::vector<CrashUpdate> takeFirstCrashes();

    /// \returns all requests that are held back.
    std::vector<Hold> held() const;

    /// \returns requests that are suspect or held back.
    std::size_t size() const { return m_records.size(); }

private:
    struct Entry
    {
        CrashRecord record = {};
        int incidents = 0; ///< At which replicas ended under it.
        int unexplainedIncidents =
                0; ///< Of these, without those that a request held back explains.
        bool isHeld = false;
        TimePoint heldAt = {}; ///< Since when.
        bool announceToAll = false; ///< Replicas ended under it at two moments or more.
        int remainingSends = 0; ///< Messages that still have to carry it.
        TimePoint lastSentAt = {};
        double trialPosition = 0; ///< Of this router among those that try it again, from 0 to 1.
        std::optional<TimePoint> softwareGoneAt = {}; ///< No replica runs what it ended.
        TimePoint trialEndsAt = TimePoint::min(); ///< A trial is in progress here.
    };
    using Records = std::unordered_map<std::string, Entry>;

    void scheduleAnnouncement(Entry &entry, bool isOwn);
    void reannounceOne(TimePoint now);
    void updateCrashTimes(const CrashRecord &record);
    bool wasRunning(const ReplicaCrash &end) const;
    void countIncidents(Entry &entry) const;
    void update(Entry &entry);
    void decide();
    bool isTied(const Entry &entry, std::span<Records::value_type *const> suspects) const;
    void setHeld(const std::string &fingerprint, Entry &entry, bool held);
    Entry &findOrInsert(const std::string &fingerprint);
    void evictRecords();
    void removeExpired();
    Hold describe(const std::string &fingerprint, const Entry &entry) const;
    TimePoint settledAt(const Entry &entry) const;
    TimePoint trialAllowedAt(const Entry &entry) const;
    Duration trialDelay(const Entry &entry) const;
    static Duration holdTime(const Entry &entry);
    static Duration lifetime(const Entry &entry);
    CrashUpdate makeUpdate(const std::string &fingerprint, const Entry &entry) const;
    static CrashRecord toRecord(const CrashUpdate &updates, TimePoint now);

    Options m_options;
    Records m_records; ///< By fingerprint.
    std::set<std::string, std::less<>> m_explained; ///< Replicas that held requests have ended.
    /// When each replica ended, by its incarnation, as the first router saw it.
    std::unordered_map<std::string, TimePoint> m_crashTimes;
    TimePoint m_reannouncedAt = TimePoint::min(); ///< What all know was told again.
};

} // namespace catkinloft
