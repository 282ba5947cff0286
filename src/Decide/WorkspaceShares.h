#pragma once

#include "Base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace catkinloft {

/// \brief Determines which requests exceed the usual share of their workspace.
///
/// Handles one workspace that sends many times its usual while a service is overloaded. Without
/// shares it would displace the requests of all others. The usual rate of a workspace is a slow
/// moving average of its rate at this router, which sees a random part of all requests; it is not
/// updated while the service is overloaded, so that a surge does not become the usual rate.
///
/// The share of a workspace is its usual rate, times the growth of the other workspaces if all send
/// more than usual, but at least an equal part of the present traffic. A router sees only a few
/// requests per second, so a workspace counts as over its share only after a sequential test
/// (CUSUM) that random fluctuation does not pass. From then on a token bucket, filled at the rate
/// of the share, determines which of its requests are within the share.
///
/// A router without a history of usual rates marks no requests, except while the service has been
/// overloaded for ten seconds: then a workspace may send eight times an equal part of the traffic.
/// The largest of 24 workspaces usually sends that much, so it is limited only if it sends more.
class WorkspaceShares
{
public:
    struct Options
    {
        const Clock &clock;
        std::size_t maxWorkspaces = 4096; ///< Limits memory; the least recent ones are dropped.
    };

    explicit WorkspaceShares(Options options);

    /// \brief Counts a request of \a workspace; an empty name stands for callers without one.
    /// \param overloaded whether the service is overloaded at present.
    /// \returns whether the request exceeds the workspace's share. Requests within the share stay
    /// within it however many others exceed it.
    bool count(std::string_view workspace, bool overloaded);

    /// \returns the number of workspaces that recently exceeded their share.
    std::size_t overShare() const;

    /// \returns the number of workspaces that are known.
    std::size_t size() const { return m_byName.size(); }

private:
    using Evidence = std::array<double, 2>;

    struct Workspace
    {
        std::string name;
        TimePoint lastAt = {};
        std::uint64_t lastTotal = 0; ///< m_total after its last request.
        std::uint64_t lastWithinUsual = 0; ///< m_withinUsual after its last request.
        std::uint64_t period = 0; ///< In which it was last counted as active.
        double usual = 0; ///< Decayed number of requests, multiplied by m_weight.
        double lead = 0; ///< Seconds that the traffic of the others is ahead of time; at most 0.
        /// Log-likelihood ratios of the sequential tests, for each tested multiple.
        Evidence overUsual = {}; ///< That it sends a multiple of its usual rate.
        Evidence overEqualPart = {}; ///< That it sends a multiple of an equal part.
        double tokens = 0; ///< Requests that are within the share; used while it is over it.
        bool isOver = false;
        bool isRepeated = false; ///< It is in m_repeated, otherwise in m_single.
    };
    using Workspaces = std::list<Workspace>; ///< The most recent first.

    void learn(TimePoint now, bool overloaded);
    void rescale();
    Workspace &find(std::string_view name);
    void drop(Workspaces &from);
    void countActive(Workspace &it, TimePoint now);
    double extendedSeconds(Workspace &it, TimePoint now);
    bool isOverByTests(Workspace &it, double seconds);
    void refill(Workspace &it, double seconds);
    void setOver(Workspace &it, bool isOver);
    void endIdle(TimePoint now);

    bool hasHistory() const;
    bool mayMark(TimePoint now) const;
    double requestsOfAll(const Workspace &it) const;
    double equalPart() const;
    double usualRate(const Workspace &it) const;
    double otherUsualRate(const Workspace &it) const;

    Options m_options;
    // Names that came once are dropped before others, so that they do not displace the history.
    Workspaces m_single;
    Workspaces m_repeated;
    std::unordered_map<std::string_view, Workspaces::iterator> m_byName;
    std::list<Workspace *> m_over;
    TimePoint m_lastAt = {};
    TimePoint m_overloadedSince = {}; ///< Zero: the service is not overloaded.
    TimePoint m_lastOverloadedAt = {};
    TimePoint m_idleCheckedAt = {};

    std::uint64_t m_total = 0; ///< Requests of all workspaces.
    std::uint64_t m_withinUsual = 0; ///< Requests of workspaces that are not over their share.

    // The usual rates are exponentially decayed counts. The weight of a new request grows instead
    // of the earlier ones being decayed, so a request updates only its own workspace.
    double m_weight = 1;
    double m_window = 0; ///< Seconds that the decayed counts stand for.
    double m_usualTotal = 0; ///< Of all workspaces, also of dropped ones; multiplied by m_weight.
    double m_usualOver = 0; ///< Of the workspaces in m_over; multiplied by m_weight.

    // Number of workspaces that sent requests in the present and in the previous period.
    std::uint64_t m_period = 0;
    TimePoint m_periodBeganAt = {};
    std::size_t m_activeNow = 0;
    std::size_t m_activeBefore = 0;
};

} // namespace catkinloft
