#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace catkinloft {

/// \brief Why a request was refused or retried. The codes are stable, since dashboards and callers
/// match on them.
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
    StreamOriginUnknown,
    UpstreamUnreachable,
    UpstreamRefused,
    UpstreamTimeout,
    UpstreamBroken,
    UpstreamInvalid,
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

/// \brief Code, HTTP status and title of a reason.
struct ReasonInfo
{
    Reason reason;
    std::string_view code; ///< Stable name on the wire and in metrics.
    int status; ///< HTTP status code.
    std::string_view title; ///< One human-readable sentence.
};

/// \returns code, status and title of \a reason.
const ReasonInfo &reasonInfo(Reason reason);

/// \returns the reason with \a code, if there is one.
std::optional<Reason> reasonFromCode(std::string_view code);

/// \returns all reasons, in the order of the enumeration.
std::span<const ReasonInfo> allReasons();

} // namespace catkinloft
