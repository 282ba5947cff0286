#include "Net/ServiceAdmission.h"

#include "Base/Log.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

constexpr Duration LogInterval = 1s;

/// Time without overload before timeouts of first attempts are learned again. Limits end and begin
/// again during one overload, and refused callers return shortly after it.
constexpr Duration LearningDelay = 5s;

} // namespace

ServiceAdmission::ServiceAdmission(Options options)
    : m_options(std::move(options)),
      m_prompts({.clock = m_options.clock, .random = m_options.random}),
      m_calls({.clock = m_options.clock, .random = m_options.random}),
      m_workspaces({.clock = m_options.clock})
{ }

RequestRank ServiceAdmission::rankOf(const EntryRequest &request)
{
    RequestRank out{.priority = request.priority(), .routePriority = request.route->priority};
    const bool overloaded = m_prompts.isLimiting() || m_calls.isShedding();
    const TimePoint now = m_options.clock.now();
    if (overloaded)
        m_overloadedAt = now;
    if (m_options.mechanisms.workspaceShares)
        out.overShare = m_workspaces.count(
                request.workspace ? request.workspace->name : std::string_view(), overloaded);
    const bool mayHaveRepeats =
            m_overloadedAt != TimePoint::min() && now - m_overloadedAt < LearningDelay;
    if (m_options.mechanisms.firstAttemptsFirst && request.facts.callerTimeout) {
        // Longer timeouts have no effect, and would make the range of the route useless.
        const Duration timeout = std::min(*request.facts.callerTimeout, request.route->timeout);
        out.repeated = m_repeats.isRepeat(request.route->name, timeout, mayHaveRepeats);
    }
    return out;
}

void ServiceAdmission::logChanges()
{
    const bool limiting = isLimiting();
    const TimePoint now = m_options.clock.now();
    if (limiting == m_wasLimiting
        || (m_loggedAt != TimePoint::min() && now - m_loggedAt < LogInterval))
        return;
    m_wasLimiting = limiting;
    m_loggedAt = now;
    Log::info(limiting ? "admission_limited" : "admission_unlimited",
              {{"service", m_options.service},
               {"limit", m_prompts.limit()},
               {"in_progress", m_prompts.inProgress()},
               {"late_share", m_prompts.lateShare()},
               {"occupancy", m_prompts.occupancy()},
               {"workspaces_over_share", m_workspaces.overShare()}});
}

void ServiceAdmission::collect(Metrics &metrics)
{
    const std::string label = Metrics::label("service", m_options.service);
    metrics.set("catkinloft_admission_limit", isLimiting() ? m_prompts.limit() : 0, label);
    metrics.set("catkinloft_calls_admitted_share", m_calls.share(), label);
    metrics.set("catkinloft_workspaces_over_share", static_cast<double>(m_workspaces.overShare()),
                label);
    if (m_options.rejections)
        collectRejections(metrics, label);
}

void ServiceAdmission::collectRejections(Metrics &metrics, const std::string &label)
{
    RejectionLimit &limit = *m_options.rejections;
    const bool isBrittle = limit.isBrittle();
    const RejectionLimit::Totals before = std::exchange(m_counted, limit.totals());
    const auto count = [&](const char *name, std::uint64_t n) {
        if (n > 0)
            metrics.count(name, label, n);
    };
    count("catkinloft_brittle_begins_total", m_counted.begins - before.begins);
    count("catkinloft_brittle_ends_total", m_counted.ends - before.ends);
    count("catkinloft_brittle_rejections_total", m_counted.rejections - before.rejections);
    count("catkinloft_brittle_headers_malformed_total", m_counted.malformed - before.malformed);
    if (m_counted.begins == 0)
        return;
    metrics.set("catkinloft_brittle_max_rejections", isBrittle ? limit.maxRejections() : 0, label);
    metrics.set("catkinloft_replica_rejections_per_second", limit.worstRejections(), label);
}

} // namespace catkinloft
