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

/// \returns the fields of every log line about a request, followed by \a more.
std::vector<LogField> withCommonFields(const RequestEvent &it, std::initializer_list<LogField> more)
{
    std::vector<LogField> out{{"request_id", it.requestId},
                              {"route", it.route},
                              {"service", it.service},
                              {"workspace", it.workspace},
                              {"revision", it.revision},
                              {"proof_age_ms", milliseconds(it.proofAge)},
                              {"elapsed_ms", milliseconds(it.elapsed)},
                              {"remaining_ms", milliseconds(it.remaining)},
                              {"attempt", it.attempt},
                              {"replica", it.replica},
                              {"address", it.address}};
    out.insert(out.end(), more);
    return out;
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
    if (it.kind == RequestEvent::Kind::Sent) {
        Log::write(LogLevel::Info, requestEventName(it.kind),
                   withCommonFields(it,
                                    {{"load", it.load},
                                     {"mean_load", it.meanLoad},
                                     {"candidates", it.candidates},
                                     {"kept_tokens", it.cachedPromptTokens},
                                     {"prompt_tokens", it.promptTokens},
                                     {"copied_from", it.copiedFrom},
                                     {"version", it.version},
                                     {"resumes", it.resumes},
                                     {"after_event", it.afterEvent.value_or(-1)},
                                     {"relay", it.relay}}));
        return;
    }
    const bool succeeded =
            it.kind == RequestEvent::Kind::Answered || it.kind == RequestEvent::Kind::CallerGone;
    std::vector<LogField> fields = withCommonFields(
            it,
            {{"status", it.status},
             {"reason", it.reason ? reasonInfo(*it.reason).code : std::string_view()},
             {"verdict", toString(it.verdict)},
             {"retry_after_ms", it.retryAfter ? milliseconds(*it.retryAfter) : 0},
             {"detail", it.detail}});
    if (!it.retryDenied.empty())
        fields.emplace_back("retry_denied", it.retryDenied);
    if (!succeeded) {
        fields.emplace_back("silent_replicas", it.silentReplicas);
        fields.emplace_back("busy_replicas", it.busyReplicas);
    }
    if (it.isUnframed)
        fields.emplace_back("unframed", true);
    if (!it.fingerprint.empty())
        fields.emplace_back("fingerprint", it.fingerprint);
    const bool isInfo = succeeded || it.kind == RequestEvent::Kind::AttemptSilent;
    Log::write(isInfo ? LogLevel::Info : LogLevel::Warning, requestEventName(it.kind), fields);
}

} // namespace catkinloft
