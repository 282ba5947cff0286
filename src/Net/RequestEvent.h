#pragma once

#include "Base/Clock.h"
#include "Base/Reason.h"
#include "Base/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief One decision about a request and the inputs of the decision.
struct RequestEvent
{
    enum class Kind : std::uint8_t {
        Sent, ///< Sent to the chosen replica.
        AttemptSilent, ///< No data arrives, but another attempt is not permitted now.
        AttemptFailed, ///< The replica did not answer or its answer was not valid.
        Answered, ///< The caller received the complete answer of the replica.
        Refused, ///< The caller received an error answer of this router.
        BrokenOff, ///< This router closed the connection in the middle of the answer.
        CallerGone, ///< The caller left before the answer was complete.
    };

    Kind kind = Kind::Sent;
    std::string requestId = {};
    std::string route = {};
    std::string service = {};
    std::string workspace = {};
    std::uint64_t revision = 0; ///< Revision of the configuration that the request uses.
    Duration proofAge = Duration::max(); ///< Time since it was proven to be the newest.
    Duration elapsed = Duration::zero(); ///< Time since the request arrived.
    Duration remaining = Duration::zero(); ///< Time until its deadline.
    int attempt = 0; ///< Number of the attempt, from 1.
    std::string_view cause = {}; ///< Why it was made, if it was sent. \sa AttemptCause

    std::string replica = {}; ///< Id of the replica.
    std::string address = {}; ///< Address of the replica.
    std::uint64_t connection = 0; ///< Number of the connection that the attempt was sent on.
    std::string version = {}; ///< Software version of the replica.
    std::string resumes =
            {}; ///< Id of the attempt that began the stream, if the caller resumes it.
    std::optional<std::int64_t> afterEvent = {}; ///< Last event that the caller has.
    int load = 0; ///< Known requests in progress at the replica when it was chosen.
    double meanLoad = 0; ///< Mean load of the candidates.
    int candidates = 0; ///< Number of replicas that it was chosen from.
    double cachedPromptTokens = 0; ///< Prompt tokens that the replica was estimated to cache.
    double promptTokens = 0; ///< Tokens of the prompt parts that requests may share.
    std::string relay = {}; ///< Router that relays it; empty: sent directly.
    std::string copiedFrom = {}; ///< Address of a replica that caches more of it; empty: none.

    bool isUnframed = false; ///< The replica's answer has neither a length nor chunks.
    int status = 0; ///< Status sent to the caller; 0: none.
    std::optional<Reason> reason = {}; ///< Why the attempt failed or the request was refused.
    Verdict verdict = Verdict::NotRun; ///< Whether the request may have run.
    std::optional<Duration> retryAfter = {};
    std::string detail = {}; ///< Human-readable description.
    std::string_view retryDenied = {}; ///< What denied another attempt; empty: nothing did.
    std::size_t silentReplicas = 0; ///< Replicas of the service from which no byte arrives.
    std::size_t busyReplicas = 0; ///< Replicas at which this router has requests in progress.
    std::string fingerprint = {}; ///< Fingerprint of the request if it is quarantined.
};

/// \returns the name of \a kind in logs.
std::string_view requestEventName(RequestEvent::Kind kind);

/// \brief Writes \a event as a log line. Only this function knows the names of the log fields.
///
/// Failures and refusals are logged as warnings, all other events as information, which is dropped
/// first when the log output cannot keep up.
void logRequestEvent(const RequestEvent &event);

} // namespace catkinloft
