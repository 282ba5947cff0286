#include "Net/RequestEvent.h"

#include "Base/Log.h"

#include <initializer_list>
#include <vector>

namespace catkinloft {

namespace {

std::int64_t milliseconds(Duration d)
{
    return d / std::chrono::milliseconds(1);
}

using Fields = std::vector<LogField>;

void append(Fields &out, std::initializer_list<LogField> more)
{
    out.insert(out.end(), more);
}

/// Appends what the decision is about. Before a route is known, the fields that depend on it have
/// no value and are left out.
void appendContext(Fields &out, const RequestEvent &it)
{
    const bool hasRoute = it.revision != 0;
    if (hasRoute)
        append(out,
               {{"route", it.route},
                {"service", it.service},
                {"workspace", it.workspace},
                {"revision", it.revision}});
    append(out,
           {{"proof_age_ms", milliseconds(it.proofAge)}, {"elapsed_ms", milliseconds(it.elapsed)}});
    if (hasRoute)
        append(out,
               {{"remaining_ms", milliseconds(it.remaining)},
                {"attempt", it.attempt},
                {"replica", it.replica},
                {"address", it.address},
                {"connection", it.connection}});
}

void appendChoice(Fields &out, const RequestEvent &it)
{
    append(out,
           {{"cause", it.cause},
            {"load", it.load},
            {"mean_load", it.meanLoad},
            {"candidates", it.candidates},
            {"kept_tokens", it.cachedPromptTokens},
            {"prompt_tokens", it.promptTokens},
            {"copied_from", it.copiedFrom},
            {"version", it.version},
            {"resumes", it.resumes},
            {"after_event", it.afterEvent.value_or(-1)},
            {"relay", it.relay}});
}

bool isFailure(RequestEvent::Kind kind)
{
    return kind != RequestEvent::Kind::Sent && kind != RequestEvent::Kind::Answered
            && kind != RequestEvent::Kind::CallerGone;
}

void appendOutcome(Fields &out, const RequestEvent &it)
{
    append(out, {{"status", it.status}, {"verdict", toString(it.verdict)}});
    if (isFailure(it.kind) && it.revision != 0)
        append(out, {{"silent_replicas", it.silentReplicas}, {"busy_replicas", it.busyReplicas}});
    append(out,
           {{"detail", it.detail},
            {"retry_after_ms", it.retryAfter ? milliseconds(*it.retryAfter) : 0}});
    if (it.isUnframed)
        append(out, {{"unframed", true}});
    if (!it.fingerprint.empty())
        append(out, {{"fingerprint", it.fingerprint}});
}

} // namespace

std::string_view requestEventName(RequestEvent::Kind kind)
{
    switch (kind) {
    case RequestEvent::Kind::Sent:
        return "request_sent";
    case RequestEvent::Kind::AttemptSilent:
        return "attempt_silent";
    case RequestEvent::Kind::AttemptFailed:
        return "attempt_failed";
    case RequestEvent::Kind::Answered:
        return "request_answered";
    case RequestEvent::Kind::Refused:
        return "request_refused";
    case RequestEvent::Kind::BrokenOff:
        return "request_broken_off";
    case RequestEvent::Kind::CallerGone:
        return "caller_gone";
    }
    return "request_sent";
}

void logRequestEvent(const RequestEvent &it)
{
    // The cause and the outcome come first, so that a truncated line still has them.
    Fields fields;
    if (it.reason)
        append(fields, {{"reason", reasonInfo(*it.reason).code}});
    if (!it.retryDenied.empty())
        append(fields, {{"retry_denied", it.retryDenied}});
    append(fields, {{"request_id", it.requestId}});
    if (it.kind != RequestEvent::Kind::Sent)
        appendOutcome(fields, it);
    appendContext(fields, it);
    if (it.kind == RequestEvent::Kind::Sent)
        appendChoice(fields, it);
    const bool isWarning = isFailure(it.kind) && it.kind != RequestEvent::Kind::AttemptSilent;
    Log::write(isWarning ? LogLevel::Warning : LogLevel::Info, requestEventName(it.kind), fields);
}

} // namespace catkinloft
