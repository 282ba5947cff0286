#pragma once

#include "Base/Clock.h"
#include "Base/Reason.h"
#include "Base/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>

namespace catkinloft {

/// \brief One decision about a request, with the inputs that decided it.
struct RequestEvent
{
    enum class Kind : std::uint8_t {
        Sent, ///< Placed at a replica and sent there.
        AttemptFailed, ///< The replica did not answer it, or not as it should.
        Answered, ///< The replica's answer went to the caller as a whole.
        Refused, ///< The caller got an answer of this router's own.
        BrokenOff, ///< The connection was broken in the middle of the answer.
        CallerGone, ///< The caller left before the answer was complete.
    };

    Kind kind = Kind::Sent;
    std::string requestId = {};
    std::string route = {};
    std::string service = {};
    std::string workspace = {};
    std::uint64_t revision = 0; ///< Of the configuration that it is handled by.
    Duration proofAge = Duration::max(); ///< Since that was certain to be the newest.
    Duration elapsed = Duration::zero(); ///< Since the request arrived.
    Duration remaining = Duration::zero(); ///< Until its deadline.
    int attempt = 0; ///< Number of the replica that it is or was sent to, from 1.

    std::string replica = {}; ///< Id.
    std::string address = {}; ///< Of the replica.
    int load = 0; ///< Requests in progress there, as known when it was chosen.
    double meanLoad = 0; ///< Over the replicas that it was chosen from.
    int candidates = 0; ///< How many those were.
    double cachedPromptTokens = 0; ///< Of the prompt, that the replica was believed to keep.
    double promptTokens = 0; ///< Of the parts that requests may share.
    std::string copiedFrom = {}; ///< Address of a replica that keeps more; empty: none.

    int status = 0; ///< That the caller got; 0: none.
    std::optional<Reason> reason = {}; ///< Why it failed or was refused.
    Verdict verdict = Verdict::NotRun; ///< Whether it may have run.
    std::optional<Duration> retryAfter = {};
    std::string detail = {}; ///< For a person.
    std::string fingerprint = {}; ///< Of the request where it is held back.
};

/// \returns the name of \a kind in logs.
std::string_view requestEventName(RequestEvent::Kind kind);

/// \brief Writes \a event as a log line. The only place that knows the names of its fields.
///
/// Failures and refusals are warnings; what went well is information, which is dropped first where
/// the log can't keep up.
void logRequestEvent(const RequestEvent &event);

} // namespace catkinloft
