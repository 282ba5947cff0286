#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace catkinloft {

/// \brief Why a request was refused or an attempt repeated. The codes are stable: dashboards and
/// callers match on them.
enum class Reason : std::uint8_t {
    NoKey,
    UnknownKey,
    OperatorOnly,
    MalformedRequest,
    BodyTooLarge,
    NotFound,
    MethodNotAllowed,
    UnknownModel,
    UnknownService,
    DeadlineExpired,
    QueueFull,
    SojournExceeded,
    WorkspaceLimit,
    EnginesSaturated,
    ShedByRule,
    NoLiveEngine,
    RetryBudgetSpent,
    UpstreamUnreachable,
    UpstreamRefused,
    UpstreamTimeout,
    UpstreamBroken,
    AnswerMismatch,
    ClaimStoreUnavailable,
    ClaimInProgress,
    KeyReused,
    OutcomeUnknown,
    Draining,
    NotReady,
    TooManyConnections,
    SlowCaller,
    CallerGone,
    RequestQuarantined,
    ConfigInvalid,
    ConfigConflict,
    StoreUnavailable,
    Internal,
};

/// \brief What is fixed about a reason.
struct ReasonInfo
{
    Reason reason;
    std::string_view code; ///< Stable name on the wire and in metrics.
    int status; ///< HTTP status code.
    std::string_view title; ///< One sentence for a person.
};

/// \returns the fixed facts about \a reason.
const ReasonInfo &reasonInfo(Reason reason);

/// \returns the reason named \a code, if there is one.
std::optional<Reason> reasonFromCode(std::string_view code);

/// \returns all reasons in the order of the enumeration.
std::span<const ReasonInfo> allReasons();

} // namespace catkinloft
