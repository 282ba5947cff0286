#include "Base/Reason.h"

#include <array>

namespace catkinloft {

namespace {

constexpr std::array Table = {
        ReasonInfo{Reason::NoKey, "no_key", 401, "The request carries no API key."},
        ReasonInfo{Reason::UnknownKey, "unknown_key", 401, "The API key is not in the inventory."},
        ReasonInfo{Reason::OperatorOnly, "operator_only", 403, "Only an operator may do this."},
        ReasonInfo{Reason::MalformedRequest, "malformed_request", 400,
                   "The request can not be understood."},
        ReasonInfo{Reason::BodyTooLarge, "body_too_large", 413, "The body exceeds its limit."},
        ReasonInfo{Reason::NotFound, "not_found", 404, "There is nothing at this path."},
        ReasonInfo{Reason::MethodNotAllowed, "method_not_allowed", 405,
                   "The path exists, but not for this method."},
        ReasonInfo{Reason::UnknownModel, "unknown_model", 404, "No engine serves this model."},
        ReasonInfo{Reason::UnknownService, "unknown_service", 404,
                   "The inventory has no such service."},
        ReasonInfo{Reason::DeadlineExpired, "deadline_expired", 504,
                   "The deadline passed before the request could be sent."},
        ReasonInfo{Reason::QueueFull, "queue_full", 503, "The queue of this workspace is full."},
        ReasonInfo{Reason::SojournExceeded, "sojourn_exceeded", 503,
                   "The request waited as long as the rules allow."},
        ReasonInfo{Reason::WorkspaceLimit, "workspace_limit", 429,
                   "The workspace has reached its limit."},
        ReasonInfo{Reason::EnginesSaturated, "engines_saturated", 503,
                   "Every upstream for this request is at its load bound."},
        ReasonInfo{Reason::ShedByRule, "shed_by_rule", 503,
                   "Work was shed to protect workspaces that the rules name first."},
        ReasonInfo{Reason::NoLiveEngine, "no_live_engine", 503,
                   "No upstream for this request is known to be live."},
        ReasonInfo{Reason::RetryBudgetSpent, "retry_budget_spent", 503,
                   "An attempt failed and the retry budget is spent."},
        ReasonInfo{Reason::StreamOriginUnknown, "stream_origin_unknown", 503,
                   "No router knows at which software version the stream began."},
        ReasonInfo{Reason::UpstreamUnreachable, "upstream_unreachable", 502,
                   "No connection to an upstream could be opened."},
        ReasonInfo{Reason::UpstreamRefused, "upstream_refused", 503,
                   "The upstream declined the request."},
        ReasonInfo{Reason::UpstreamTimeout, "upstream_timeout", 504,
                   "The upstream made no progress in time."},
        ReasonInfo{Reason::UpstreamBroken, "upstream_broken", 502,
                   "The connection to the upstream broke before the answer was complete."},
        ReasonInfo{Reason::UpstreamInvalid, "upstream_invalid", 502,
                   "What the upstream sent is no answer in the protocol, or is longer than the "
                   "limit."},
        ReasonInfo{Reason::AnswerMismatch, "answer_mismatch", 502,
                   "The upstream's answer belongs to another request and was discarded."},
        ReasonInfo{Reason::ClaimStoreUnavailable, "claim_store_down", 503,
                   "The table service could not record the claim of this call."},
        ReasonInfo{Reason::ClaimInProgress, "claim_in_progress", 409,
                   "Another attempt with this idempotency key is being executed."},
        ReasonInfo{Reason::KeyReused, "idempotency_key_reused", 422,
                   "The idempotency key was used for a different request."},
        ReasonInfo{Reason::OutcomeUnknown, "outcome_unknown", 409,
                   "An earlier attempt may have run and its outcome is not known."},
        ReasonInfo{Reason::Draining, "draining", 503, "This router is shutting down."},
        ReasonInfo{Reason::NotReady, "not_ready", 503, "This router has no configuration yet."},
        ReasonInfo{Reason::TooManyConnections, "too_many_connections", 503,
                   "The listener is at its connection limit."},
        ReasonInfo{Reason::SlowCaller, "slow_caller", 408,
                   "The caller did not read its answer in time."},
        ReasonInfo{Reason::CallerGone, "caller_gone", 499, "The caller closed its connection."},
        ReasonInfo{Reason::RequestQuarantined, "request_quarantined", 503,
                   "Replicas ended whenever they ran this request."},
        ReasonInfo{Reason::ConfigInvalid, "config_invalid", 422, "The configuration has errors."},
        ReasonInfo{Reason::ConfigConflict, "config_conflict", 409,
                   "Another change was accepted first."},
        ReasonInfo{Reason::StoreUnavailable, "store_down", 503,
                   "The table service does not answer."},
        ReasonInfo{Reason::Internal, "internal", 500, "The router failed; see its log."},
};

constexpr bool tableFollowsEnumeration()
{
    for (std::size_t i = 0; i < Table.size(); ++i) {
        if (static_cast<std::size_t>(Table[i].reason) != i)
            return false;
    }
    return static_cast<std::size_t>(Reason::Internal) + 1 == Table.size();
}
static_assert(tableFollowsEnumeration(), "EVERY_REASON_NEEDS_ONE_TABLE_ROW_IN_ENUMERATION_ORDER");

} // namespace

const ReasonInfo &reasonInfo(Reason reason)
{
    return Table[static_cast<std::size_t>(reason)];
}

std::optional<Reason> reasonFromCode(std::string_view code)
{
    for (const ReasonInfo &it : Table) {
        if (it.code == code)
            return it.reason;
    }
    return std::nullopt;
}

std::span<const ReasonInfo> allReasons()
{
    return Table;
}

} // namespace catkinloft
