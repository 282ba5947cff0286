#include "Net/ConnectionLog.h"

#include "Base/Log.h"
#include "Base/Metrics.h"
#include "Decide/RequestBuffers.h"

#include <cerrno>
#include <cstring>
#include <utility>

namespace catkinloft {

namespace {

/// Shortest time between two log lines of one kind.
constexpr Duration LogInterval = std::chrono::seconds(1);

/// Most answers that were cut off with a line of their own within LogInterval.
constexpr int MaxCutLines = 50;

} // namespace

HttpServer::Options ConnectionLog::observed(HttpServer::Options options)
{
    const std::string address = options.address;
    options.onTooManyConnections = [this, address, limit = options.limits.maxConnections] {
        refused(address, limit);
    };
    options.onConnectionEnded = [this, address](std::string_view it) { ended(address, it); };
    options.onAnswerCut = [this, address](AnswerCut reason, const UnsentAnswer &it) {
        answerCut(address, reason, it);
    };
    options.onAcceptFailed = [this, address] { acceptFailed(address, errno); };
    return options;
}

bool ConnectionLog::isDue(TimePoint &loggedAt) const
{
    const TimePoint now = m_options.clock.now();
    if (now < loggedAt + LogInterval)
        return false;
    loggedAt = now;
    return true;
}

/// Requests of refused connections are not read, so that no other line names them.
void ConnectionLog::refused(std::string_view address, int limit)
{
    m_options.metrics.refused(Reason::TooManyConnections);
    ++m_refused;
    if (!isDue(m_refusedLoggedAt))
        return;
    Log::warning(
            "connections_refused",
            {{"address", address}, {"connections", std::exchange(m_refused, 0)}, {"limit", limit}});
}

void ConnectionLog::ended(std::string_view address, std::string_view reason)
{
    m_options.metrics.count("catkinloft_connections_ended_total", Metrics::label("reason", reason));
    ++m_ended[std::string(reason)];
    if (!isDue(m_endedLoggedAt))
        return;
    Log::warning("connections_ended",
                 {{"reason", reason},
                  {"address", address},
                  {"request_memory", m_ended["request_memory"]},
                  {"header_timeout", m_ended["header_timeout"]},
                  {"rejected", m_ended["rejected"]},
                  {"held_bytes", m_options.buffers.used()},
                  {"limit_bytes", m_options.buffers.limit()}});
    m_ended.clear();
}

void ConnectionLog::answerCut(std::string_view address, AnswerCut reason,
                              const UnsentAnswer &answer)
{
    const std::string_view name = answerCutName(reason);
    m_options.metrics.count("catkinloft_answers_cut_total", Metrics::label("reason", name));
    // The handler logs the end of an answer that it gives up or whose caller leaves.
    const bool isLogged = reason == AnswerCut::BrokenOff || reason == AnswerCut::Caller
            || reason == AnswerCut::Reset;
    if (isLogged && !answer.isComplete)
        return;
    const TimePoint now = m_options.clock.now();
    if (now >= m_cutsSince + LogInterval) {
        m_cutsSince = now;
        m_cutLines = 0;
    }
    if (++m_cutLines > MaxCutLines) {
        ++m_cutsNotLogged;
        return;
    }
    Log::warning("answer_cut",
                 {{"reason", name},
                  {"request_id", answer.requestId},
                  {"address", address},
                  {"unsent_bytes", answer.bytes},
                  {"complete", answer.isComplete},
                  {"error", answer.error != 0 ? std::strerror(answer.error) : ""},
                  {"not_logged", std::exchange(m_cutsNotLogged, 0)},
                  {"held_bytes", m_options.buffers.used()},
                  {"limit_bytes", m_options.buffers.limit()}});
}

void ConnectionLog::acceptFailed(std::string_view address, int error)
{
    m_options.metrics.count("catkinloft_accept_failures_total");
    if (isDue(m_acceptLoggedAt))
        Log::error("accept_failed", {{"address", address}, {"detail", std::strerror(error)}});
}

} // namespace catkinloft
