#include "Net/ClaimDriver.h"

#include "Net/EventLoop.h"

#include <algorithm>

namespace catkinloft {

ClaimDriver::ClaimDriver(Options options)
    : m_loop(options.loop), m_timer(options.loop, [this] { poll(); }),
      m_manager({.table = options.table,
                 .objects = options.objects,
                 .clock = options.loop,
                 .metrics = options.metrics,
                 .random = options.random,
                 .router = options.router,
                 .wake = [this] { schedule(); }}),
      m_sweeper({.table = options.table,
                 .clock = options.loop,
                 .random = options.random,
                 .routers = options.routers})
{
    m_started = true;
    schedule();
    options.metrics.addCollector([this](Metrics &it) {
        it.set("catkinloft_claim_transactions", static_cast<double>(m_manager.transactions()));
        it.set("catkinloft_claim_outcomes_unrecorded",
               static_cast<double>(m_manager.unrecordedOutcomes()));
        it.set("catkinloft_claims_swept", static_cast<double>(m_sweeper.removed()));
    });
}

void ClaimDriver::schedule()
{
    if (!m_started)
        return;
    const TimePoint next = std::min(m_manager.nextDeadline(), m_sweeper.nextDeadline());
    m_timer.start(std::max(next - m_loop.now(), Duration::zero()));
}

void ClaimDriver::poll()
{
    m_manager.poll();
    m_sweeper.poll();
    schedule();
}

} // namespace catkinloft
