#include "Net/EntryAdmission.h"

#include "Request/Problem.h"

#include <algorithm>
#include <cstdint>

#include <fmt/format.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

constexpr int Unavailable = 503;

/// Least time after which a refused caller should retry. Retry-After is stated in milliseconds, and
/// with 0 a caller would return at once.
constexpr Duration MinRetryAfter = 1ms;

/// Priorities that can be stated to an engine. What is over the share of its workspace is stated
/// as the least urgent.
constexpr int MaxStatedPriority = 9;

/// Weight of the workspace's priority against the route's in the one number that engines accept.
constexpr std::int64_t WorkspacePriorityStep = 3;

} // namespace

void EntryAdmission::end()
{
    if (m_prompt)
        m_service->prompts().ended(*m_prompt);
    m_prompt.reset();
}

std::optional<Error> EntryAdmission::admit(ServiceAdmission &service, const EntryRequest &request,
                                           Duration remaining)
{
    m_service = &service;
    m_request = &request;
    m_isPrompt = request.route->kind == CallKind::Streaming;
    m_rank = service.rankOf(request);
    // The caller has a part of a stream that it resumes; refusing the rest would waste that part.
    m_isResumed = m_isPrompt && request.route->resumable && request.facts.lastEventId.has_value();
    const bool isRefused = !m_isResumed && !isAdmitted();
    if (m_isPrompt)
        service.logChanges();
    if (isRefused) {
        m_metrics.count(
                "catkinloft_admission_refused_total",
                Metrics::label("service", service.options().service) + ","
                        + Metrics::label("priority", fmt::format("{}", m_rank.routePriority)));
        return refusal(remaining);
    }
    if (m_isPrompt)
        m_prompt = service.prompts().started(request.route->targetLatency);
    return std::nullopt;
}

bool EntryAdmission::isAdmitted()
{
    const Mechanisms &mechanisms = m_service->options().mechanisms;
    if (m_isPrompt)
        return !mechanisms.promptAdmission || m_service->prompts().admits(m_rank);
    return !mechanisms.loadShedding || m_service->calls().admits(m_rank);
}

Error EntryAdmission::refusal(Duration remaining) const
{
    Error out{.reason = Reason::EnginesSaturated,
              .figures = {{"priority", static_cast<double>(m_rank.priority)},
                          {"route_priority", static_cast<double>(m_rank.routePriority)},
                          {"over_share", m_rank.overShare ? 1.0 : 0.0},
                          {"repeated", m_rank.repeated ? 1.0 : 0.0}}};
    const std::string &service = m_service->options().service;
    if (m_isPrompt) {
        PromptAdmission &prompts = m_service->prompts();
        out.detail = fmt::format("{} receives more prompts than it can process in time", service);
        out.retryAfter = std::max(MinRetryAfter, prompts.retryAfter(remaining));
        out.figures.push_back({"limit", prompts.limit()});
        out.figures.push_back({"in_progress", static_cast<double>(prompts.inProgress())});
        out.figures.push_back({"late_share", prompts.lateShare()});
        out.figures.push_back({"occupancy", prompts.occupancy()});
    } else {
        LoadShedder &calls = m_service->calls();
        out.detail = fmt::format("{} receives more calls than it can complete in time", service);
        out.retryAfter = std::max(MinRetryAfter, calls.retryAfter(remaining));
        out.figures.push_back({"admitted_share", calls.share()});
    }
    return out;
}

void EntryAdmission::firstEvent()
{
    if (m_prompt)
        m_service->prompts().firstEvent(*m_prompt);
}

void EntryAdmission::headReceived(const std::string &replica, const AnswerFacts &answer, int status)
{
    // An answer of another replica at the same address says nothing about this one.
    if (const auto &rejections = m_service->options().rejections;
        rejections && status != MisdirectedStatus)
        rejections->answered(replica,
                             {.maxRejections = answer.maxRejections,
                              .isMalformed = answer.isMaxRejectionsMalformed,
                              .isRejection = answer.notExecuted,
                              .load = answer.load});
    if (m_isPrompt && answer.load)
        m_service->prompts().loadReported(*answer.load);
}

void EntryAdmission::callAnswered(const CallAnswer &answer)
{
    // A paused replica says nothing about the load of the others and receives no calls to shed.
    if (m_isPrompt || !m_service->options().mechanisms.loadShedding || answer.facts.pause)
        return;
    if (answer.facts.notExecuted && answer.status == Unavailable)
        m_service->calls().refused(answer.replica, answer.usableReplicas);
    else if (answer.facts.load)
        m_service->calls().answered(answer.replica, *answer.facts.load, answer.latency,
                                    answer.target, answer.usableReplicas);
}

bool EntryAdmission::mayRetry(Verdict verdict, bool hasForwardedEvent)
{
    if (!m_service->isOverloaded(m_isPrompt))
        return true;
    if (!m_isPrompt)
        return verdict == Verdict::NotRun;
    if (!m_service->options().mechanisms.urgentRetries || hasForwardedEvent || m_isResumed
        || m_service->prompts().isMostUrgent(m_rank))
        return true;
    return verdict == Verdict::NotRun && m_service->prompts().admitsRetry(m_rank);
}

std::optional<int> EntryAdmission::statedPriority() const
{
    if (!m_service || !m_service->options().mechanisms.requestPriorities
        || !m_request->route->usesPromptCache)
        return std::nullopt;
    if (m_rank.overShare)
        return MaxStatedPriority;
    const std::int64_t combined = m_rank.priority * WorkspacePriorityStep + m_rank.routePriority;
    return static_cast<int>(std::clamp<std::int64_t>(combined, 0, MaxStatedPriority - 1));
}

} // namespace catkinloft
