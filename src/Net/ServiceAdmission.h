#pragma once

#include "Base/Clock.h"
#include "Base/Mechanisms.h"
#include "Base/Metrics.h"
#include "Base/Random.h"
#include "Decide/LoadShedder.h"
#include "Decide/PromptAdmission.h"
#include "Decide/RejectionLimit.h"
#include "Decide/RepeatDetector.h"
#include "Decide/RequestRank.h"
#include "Decide/WorkspaceShares.h"
#include "Request/EntryRequest.h"

#include <memory>
#include <string>

namespace catkinloft {

/// \brief Decision state of one service that says which requests are admitted while it is
/// overloaded. Prompts are limited by PromptAdmission, plain calls by LoadShedder.
class ServiceAdmission
{
public:
    struct Options
    {
        const Clock &clock;
        RandomSource random;
        std::string service = {};
        Mechanisms mechanisms = {};
        std::shared_ptr<RejectionLimit> rejections = {}; ///< Null: rejections are not limited.
    };

    explicit ServiceAdmission(Options options);

    /// \brief Counts \a request for the share of its workspace.
    /// \returns its place in the order of admission.
    RequestRank rankOf(const EntryRequest &request);

    /// \returns whether prompts, or calls, are being refused for lack of capacity.
    bool isOverloaded(bool isPrompt) const
    {
        return isPrompt ? isLimiting() : m_calls.isShedding();
    }

    PromptAdmission &prompts() { return m_prompts; }
    LoadShedder &calls() { return m_calls; }
    const Options &options() const { return m_options; }

    /// \brief Logs the begin and the end of a limit, at most once a second.
    void logChanges();

    /// \brief Updates the gauges of this service, and its counters of rejections.
    void collect(Metrics &metrics);

private:
    /// \returns whether a limit is applied to prompts.
    bool isLimiting() const
    {
        return m_options.mechanisms.promptAdmission && m_prompts.isLimiting();
    }
    void collectRejections(Metrics &metrics, const std::string &label);

    Options m_options;
    PromptAdmission m_prompts;
    LoadShedder m_calls;
    WorkspaceShares m_workspaces;
    RepeatDetector m_repeats;
    TimePoint m_overloadedAt = TimePoint::min(); ///< Last request while it was overloaded.
    bool m_wasLimiting = false; ///< As logged last.
    TimePoint m_loggedAt = TimePoint::min();
    RejectionLimit::Totals m_counted; ///< As counted last by collect().
};

} // namespace catkinloft
