#include "Net/EntryGateway.h"

#include "Base/CrashHandler.h"
#include "Net/EventLoop.h"
#include "Net/internal/Dispatch.h"

#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Interval of checks for replicas that don't answer.
constexpr Duration SilenceCheckInterval = 100ms;

} // namespace

EntryGateway::EntryGateway(EntryContext context)
    : m_context(std::move(context)), m_silenceTimer(m_context.loop, [this] { checkSilence(); })
{
    m_context.metrics.addCollector([this](Metrics &metrics) {
        metrics.set("catkinloft_requests_in_progress", static_cast<double>(inProgress()));
    });
}

EntryGateway::~EntryGateway() = default;

void EntryGateway::handle(const HttpExchangePtr &exchange)
{
    if (m_leaving)
        exchange->closeAfterAnswer();
    // A weak pointer identifies the call without keeping it alive.
    auto key = std::make_shared<std::weak_ptr<EntryCall>>();
    const auto call = std::make_shared<EntryCall>(m_context, exchange, [this, key] {
        if (const auto it = key->lock())
            m_calls.erase(it);
        CrashHandler::setRequestsInProgress(m_calls.size());
    });
    *key = call;
    m_calls.insert(call);
    CrashHandler::setRequestsInProgress(m_calls.size());
    if (!m_silenceTimer.isPending())
        startSilenceTimer();
    // The call keeps the exchange, which nothing else would answer.
    if (!internal::dispatch("request", [&] { call->start(); }))
        call->startFailed();
}

void EntryGateway::checkSilence()
{
    // After a stall of this process, answers may be waiting in the sockets. They are read before
    // the next check.
    const bool isLate = m_context.loop.now() - m_silenceCheckDue >= SilenceCheckInterval;
    m_skippedCheck = isLate && !m_skippedCheck;
    if (m_skippedCheck)
        return startSilenceTimer();
    // A check may end calls.
    const std::vector<std::shared_ptr<EntryCall>> calls(m_calls.begin(), m_calls.end());
    for (const auto &it : calls)
        it->checkSilence();
    if (!m_calls.empty())
        startSilenceTimer();
}

void EntryGateway::startSilenceTimer()
{
    m_silenceCheckDue = m_context.loop.now() + SilenceCheckInterval;
    m_silenceTimer.start(SilenceCheckInterval);
}

void EntryGateway::stop()
{
    const std::vector<std::shared_ptr<EntryCall>> calls(m_calls.begin(), m_calls.end());
    for (const auto &it : calls)
        it->stop();
}

std::vector<std::string> EntryGateway::unfinished() const
{
    std::vector<std::string> out;
    out.reserve(m_calls.size());
    for (const auto &it : m_calls)
        out.push_back(it->id());
    return out;
}

} // namespace catkinloft
