#include "Net/RequestEvent.h"

#include "Base/Log.h"

namespace catkinloft {

namespace {

std::int64_t milliseconds(Duration d)
{
    return d / std::chrono::milliseconds(1);
}

void logSent(const RequestEvent &it)
{
    Log::info("request_sent",
              {{"request_id", it.requestId},
               {"route", it.route},
               {"service", it.service},
               {"workspace", it.workspace},
               {"revision", it.revision},
               {"proof_age_ms", milliseconds(it.proofAge)},
               {"elapsed_ms", milliseconds(it.elapsed)},
               {"remaining_ms", milliseconds(it.remaining)},
               {"attempt", it.attempt},
               {"replica", it.replica},
               {"address", it.address},
               {"load", it.load},
               {"mean_load", it.meanLoad},
               {"candidates", it.candidates},
               {"kept_tokens", it.keptTokens},
               {"prompt_tokens", it.promptTokens},
               {"copied_from", it.copiedFrom}});
}

void logOutcome(const RequestEvent &it)
{
    const bool well =
            it.kind == RequestEvent::Kind::Answered || it.kind == RequestEvent::Kind::CallerGone;
    Log::write(well ? LogLevel::Info : LogLevel::Warning, requestEventName(it.kind),
               {{"request_id", it.requestId},
                {"route", it.route},
                {"service", it.service},
                {"workspace", it.workspace},
                {"revision", it.revision},
                {"proof_age_ms", milliseconds(it.proofAge)},
                {"elapsed_ms", milliseconds(it.elapsed)},
                {"remaining_ms", milliseconds(it.remaining)},
                {"attempt", it.attempt},
                {"replica", it.replica},
                {"address", it.address},
                {"status", it.status},
                {"reason", it.reason ? reasonInfo(*it.reason).code : std::string_view()},
                {"verdict", toString(it.verdict)},
                {"retry_after_ms", it.retryAfter ? milliseconds(*it.retryAfter) : 0},
                {"detail", it.detail}});
}

} // namespace

std::string_view requestEventName(RequestEvent::Kind kind)
{
    switch (kind) {
    case RequestEvent::Kind::Sent:
        return "request_sent";
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

void logRequestEvent(const RequestEvent &event)
{
    if (event.kind == RequestEvent::Kind::Sent)
        logSent(event);
    else
        logOutcome(event);
}

} // namespace catkinloft
