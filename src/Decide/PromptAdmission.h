#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Decide/ReplicaLoad.h"
#include "Decide/RequestRank.h"

#include <array>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace catkinloft {

/// \brief Limits the prompts that one router has in progress at an overloaded model service.
///
/// Handles more prompts than the engines can process in time, for example because many of them are
/// lost during a surge. Engines process prompts between the decoding steps of running requests, so
/// without a limit all streams become slow, prompts wait in the queues of the engines until they
/// are late, and the engines complete a fraction of what they could.
///
/// The limit is a window of prompts in progress, as in congestion control: it is set when first
/// events become late while the engines report that they are busy, shrinks while that persists and
/// grows otherwise. Routers exchange no messages for this; their windows agree because they use the
/// same engines. Room in the window goes to the most urgent prompts first.
class PromptAdmission
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
    };

    /// \brief Identifies one prompt in progress.
    using Id = std::uint64_t;

    explicit PromptAdmission(Options options);

    /// \returns whether a prompt of \a rank may be sent; if not, it is refused.
    bool admits(const RequestRank &rank);

    /// \returns whether a prompt of \a rank that is in progress and did not run fits below its
    /// threshold, so that it may be sent again. It was counted when it was admitted, and a denial
    /// is no refusal that would prolong the limit.
    bool admitsRetry(const RequestRank &rank);

    /// \returns whether no more urgent prompts than those of \a rank were seen recently.
    bool isMostUrgent(const RequestRank &rank) const;

    /// \brief Counts an admitted prompt until ended() is called.
    /// \param target latency up to which its first event is on time.
    Id started(Duration target);

    /// \brief Records that the first event of \a id arrived. Later calls for \a id have no effect.
    void firstEvent(Id id);

    /// \brief Ends prompt \a id. A prompt without an event that ends because its replica is
    /// unreachable or failed says nothing about the load.
    void ended(Id id);

    /// \brief Records the load that an engine reported with an answer.
    void loadReported(const ReplicaLoad &load);

    /// \returns whether prompts are limited at present.
    bool isLimiting() const;

    /// \returns the largest number of prompts in progress; 0: no limit.
    double limit() const;

    /// \returns the number of prompts in progress.
    int inProgress() const;

    /// \returns the share of recent first events that were late, 0 to 1, and the mean occupancy
    /// that engines reported, for logs and refusals.
    double lateShare() const;
    double occupancy() const;

    /// \returns when a refused caller should retry: a random time that spreads the callers, longer
    /// the larger the share of refused prompts is, and at most a third of \a remaining.
    Duration retryAfter(Duration remaining);

private:
    /// Counts recent events, and how many of them have a property.
    class RecentShare
    {
    public:
        struct Counts
        {
            int total = 0;
            int counted = 0;

            double share() const { return total > 0 ? static_cast<double>(counted) / total : 0; }
        };

        void add(TimePoint now, bool counted);
        void clear() { m_buckets = {}; }

        /// \returns the counts of the last half second; if these are too few to decide, of the
        /// shortest longer time up to three seconds that has enough.
        Counts counts(TimePoint now) const;

    private:
        struct Bucket
        {
            std::int64_t period = -1; ///< Number of the bucket's period since the clock's origin.
            Counts counts;
        };

        std::array<Bucket, 30> m_buckets = {};
    };

    struct Prompt
    {
        TimePoint startedAt;
        TimePoint dueAt; ///< Without a first event by then the prompt is late.
        bool awaited = true; ///< Neither a first event nor lateness was observed.
        bool hasEvent = false;
    };

    struct RankInUse
    {
        RequestRank rank;
        double demand = 0; ///< Decayed number of prompts.
    };

    /// Averages over the load reports, weighted by their age.
    struct Reports
    {
        TimePoint receivedAt = {}; ///< Of the last one.
        double weight = 0; ///< 0: none received.
        double running = 0; ///< Share of the slots in use.
        double waiting = 0; ///< Waiting requests relative to a quarter of the slots, at most 1.
        double occupancy = 0;
    };

    void observe(const Prompt &prompt, bool late);
    void clearObservations();
    void update();
    void markOverdue();
    void limitOnset();
    void adjustWindow();
    void removeLimit();
    void countDemand(const RequestRank &rank);
    double threshold(const RequestRank &rank) const; ///< Largest number of prompts in progress.
    double windowFactor() const;
    RecentShare::Counts late() const;
    bool isOverloaded() const;
    bool isQueueing() const;
    bool isBusy() const;
    bool hasReports() const;
    bool isLimitOutdated() const;

    Options m_options;
    Id m_lastId = 0;
    std::unordered_map<Id, Prompt> m_prompts; ///< In progress.
    std::set<std::pair<TimePoint, Id>> m_awaited; ///< By the time at which they are late.
    std::vector<RankInUse> m_ranks; ///< The most urgent first.
    TimePoint m_demandAt = {}; ///< Up to which the demand of the ranks is decayed.
    RecentShare m_late; ///< Of all prompts, for logs and refusals.
    /// Of the prompts started after the window shrank; earlier ones say nothing about its size.
    RecentShare m_lateSinceShrink;
    RecentShare m_lateEvents; ///< As m_lateSinceShrink, but only of prompts with a first event.
    RecentShare m_refused;
    Reports m_reports;
    double m_window = 0; ///< 0: no limit.
    double m_onsetWindow = 0; ///< In proportion to this router's part of the traffic.
    TimePoint m_changedAt = {}; ///< Last change of the window.
    TimePoint m_shrunkAt = {}; ///< Last time it was reduced or set.
    TimePoint m_refusedAt = {};
    TimePoint m_busyAt = {}; ///< Last report while the engines were busy.
};

} // namespace catkinloft
