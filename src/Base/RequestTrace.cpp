#include "Base/RequestTrace.h"

#include "Base/Json.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft {

namespace {

constexpr std::string_view CrashEvent = "run_ended_with_replica";

std::string textOf(const Json::Value &line, const char *name)
{
    const Json::Value &it = line[name];
    if (it.isString())
        return it.asString();
    return it.isNull() ? std::string() : printJson(it);
}

std::string sentSentence(const Json::Value &it)
{
    std::string out = fmt::format(
            "sent to replica {} of {} (attempt {}): {} in progress there, {} on average of {}; "
            "{} ms left; configuration {} proven {} ms ago",
            textOf(it, "replica"), textOf(it, "service"), textOf(it, "attempt"), textOf(it, "load"),
            textOf(it, "mean_load"), textOf(it, "candidates"), textOf(it, "remaining_ms"),
            textOf(it, "revision"), textOf(it, "proof_age_ms"));
    if (it["prompt_tokens"].asDouble() > 0)
        out += fmt::format("; {} of {} shared prompt tokens kept there", textOf(it, "kept_tokens"),
                           textOf(it, "prompt_tokens"));
    if (!textOf(it, "relay").empty())
        out += fmt::format(", through router {}", textOf(it, "relay"));
    if (!textOf(it, "copied_from").empty())
        out += fmt::format(", the rest copied from {}", textOf(it, "copied_from"));
    return out;
}

std::string outcomeSentence(const Json::Value &it, std::string_view what)
{
    std::string out = fmt::format("{} after {} ms", what, textOf(it, "elapsed_ms"));
    if (it["status"].asInt() != 0)
        out += fmt::format(", status {}", textOf(it, "status"));
    if (!textOf(it, "reason").empty())
        out += fmt::format(": {} ({}), verdict {}", textOf(it, "reason"), textOf(it, "detail"),
                           textOf(it, "verdict"));
    return out;
}

std::string sentenceOf(const Json::Value &it)
{
    const std::string event = textOf(it, "event");
    if (event == "request_sent")
        return sentSentence(it);
    if (event == "attempt_silent")
        return outcomeSentence(it,
                               fmt::format("no data from {}, kept: retry denied ({})",
                                           textOf(it, "replica"), textOf(it, "retry_denied")));
    if (event == "attempt_failed")
        return outcomeSentence(it, fmt::format("attempt on {} failed", textOf(it, "replica")));
    if (event == "request_answered")
        return outcomeSentence(it, fmt::format("answered by {}", textOf(it, "replica")));
    if (event == "request_refused")
        return outcomeSentence(it, "refused");
    if (event == "request_broken_off")
        return outcomeSentence(it, "answer broken off");
    if (event == "caller_gone")
        return outcomeSentence(it, "the caller left");
    if (event == "cut_off")
        return "cut off by the end of the process";
    if (event == CrashEvent)
        return fmt::format("replica {} ended while it ran request {} with the same content",
                           textOf(it, "replica"), textOf(it, "request_id"));
    return printJson(it);
}

std::string causeOf(const Json::Value &it)
{
    const std::string event = textOf(it, "event");
    if (event == "request_refused" || event == "request_broken_off")
        return fmt::format("{}: {}", textOf(it, "reason"), textOf(it, "detail"));
    if (event == "request_answered")
        return fmt::format("answered with status {} by replica {}", textOf(it, "status"),
                           textOf(it, "replica"));
    if (event == "caller_gone")
        return fmt::format("the caller left after {} ms, while replica {} worked on it",
                           textOf(it, "elapsed_ms"), textOf(it, "replica"));
    if (event == "cut_off")
        return "the router had to stop before the answer was complete";
    return {};
}

bool isReplicaEvent(const std::string &event)
{
    return event.starts_with("replica_");
}

} // namespace

void RequestTrace::addLog(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        addLine(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    std::stable_sort(m_events.begin(), m_events.end(),
                     [](const Event &a, const Event &b) { return a.time < b.time; });
}

void RequestTrace::addLine(std::string_view line)
{
    const std::size_t brace = line.find('{');
    if (brace == std::string_view::npos) {
        m_skipped += line.empty() ? 0 : 1;
        return;
    }
    line.remove_prefix(brace);
    const bool named = line.find(m_requestId) != std::string_view::npos;
    if (!named && line.find(R"("event":"replica_)") == std::string_view::npos
        && line.find(CrashEvent) == std::string_view::npos)
        return;
    const Result<Json::Value> parsed = parseJsonObject(line);
    Result<Event> read = parsed ? readEvent(parsed.value()) : Result<Event>(parsed.error());
    if (!read) {
        ++m_skipped;
        return;
    }
    Event &event = read.value();
    if (event.name == CrashEvent)
        m_crashes.push_back(std::move(event));
    else if (event.requestId == m_requestId)
        m_events.push_back(std::move(event));
    else if (isReplicaEvent(event.name))
        m_replicaEvents.push_back(std::move(event));
}

Result<RequestTrace::Event> RequestTrace::readEvent(const Json::Value &line)
{
    return readJson<Event>(line, Reason::MalformedRequest, [](const Json::Value &it) {
        return Event{.time = textOf(it, "time"),
                     .source = textOf(it, "source"),
                     .name = textOf(it, "event"),
                     .sentence = sentenceOf(it),
                     .cause = causeOf(it),
                     .replica = textOf(it, "replica"),
                     .requestId = textOf(it, "request_id"),
                     .fingerprint = textOf(it, "fingerprint")};
    });
}

std::vector<RequestTrace::Event> RequestTrace::relatedReplicaEvents() const
{
    std::vector<Event> out;
    for (const Event &it : m_replicaEvents) {
        const bool used = std::any_of(m_events.begin(), m_events.end(), [&](const Event &event) {
            return event.replica == it.replica && event.source == it.source;
        });
        if (used && it.name != "replica_joined")
            out.push_back(it);
    }
    return out;
}

std::vector<RequestTrace::Event> RequestTrace::relatedCrashes() const
{
    std::vector<Event> out;
    for (const Event &it : m_crashes) {
        const bool same = std::any_of(m_events.begin(), m_events.end(), [&](const Event &event) {
            return !event.fingerprint.empty() && event.fingerprint == it.fingerprint;
        });
        if (same || it.requestId == m_requestId)
            out.push_back(it);
    }
    return out;
}

std::string RequestTrace::summary() const
{
    std::string out = fmt::format("request {}\n", m_requestId);
    for (const Event &it : m_events)
        out += fmt::format("  {} {}: {}\n", it.time, it.source, it.sentence);
    for (const Event &it : relatedReplicaEvents())
        out += fmt::format("  meanwhile {} {}: {} {}\n", it.time, it.source, it.name, it.replica);
    for (const Event &it : relatedCrashes())
        out += fmt::format("  evidence {} {}: {}\n", it.time, it.source, it.sentence);
    std::string cause =
            "no router logged its end: the process was killed, or its lines are missing";
    for (const Event &it : m_events) {
        if (!it.cause.empty())
            cause = it.cause;
    }
    return out + fmt::format("cause: {}\n", cause);
}

} // namespace catkinloft
