#include "Net/ClaimPump.h"

#include "Net/EventLoop.h"

#include <algorithm>

namespace catkinloft {

ClaimPump::ClaimPump(Options options)
    : m_loop(options.loop), m_timer(options.loop, [this] { poll(); }),
      m_keeper({.table = options.table,
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
        it.set("catkinloft_claim_transactions", static_cast<double>(m_keeper.transactions()));
        it.set("catkinloft_claim_outcomes_unrecorded",
               static_cast<double>(m_keeper.unrecordedOutcomes()));
        it.set("catkinloft_claims_swept", static_cast<double>(m_sweeper.removed()));
    });
}

void ClaimPump::schedule()
{
    if (!m_started)
        return;
    const TimePoint next = std::min(m_keeper.nextDeadline(), m_sweeper.nextDeadline());
    m_timer.start(std::max(next - m_loop.now(), Duration::zero()));
}

void ClaimPump::poll()
{
    m_keeper.poll();
    m_sweeper.poll();
    schedule();
}

} // namespace catkinloft
