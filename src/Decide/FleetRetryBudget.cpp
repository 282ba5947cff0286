#include "Decide/FleetRetryBudget.h"

#include "Base/Log.h"

#include <algorithm>
#include <utility>

namespace catkinloft {

namespace {

/// Size of the bucket, and what it earns within a window, as fractions of the limit of a window.
/// The first bounds what is spent beyond the earnings when many requests break at the same moment.
/// The rest of the limit covers retries that arrive in a later window than they were counted in,
/// and routers that joined but are not known to this router yet.
constexpr double SavedFraction = 0.35;
constexpr double EarnedFraction = 0.6;

constexpr std::int64_t SlotsPerWindow = 10;

/// Shortest time between two log lines about a budget that is used up.
constexpr Duration LogInterval = std::chrono::seconds(1);

/// In a large fleet the part of a router is less than one retry. With a random threshold above 0
/// and up to 1, it is used with the probability that corresponds to the part.
double drawThreshold(const RandomSource &random)
{
    return 1 - uniform(random);
}

} // namespace

FleetRetryBudget::FleetRetryBudget(Options options)
    : m_options(std::move(options)), m_threshold(drawThreshold(m_options.random)),
      m_startedAt(m_options.clock.now()), m_refilledAt(m_startedAt)
{
    if (!m_options.followsOthers)
        m_tokens = SavedFraction * m_options.slack;
}

std::int64_t FleetRetryBudget::slotNumber() const
{
    return m_options.clock.now().time_since_epoch() / (m_options.window / SlotsPerWindow);
}

FleetRetryBudget::Slot &FleetRetryBudget::currentSlot()
{
    const std::int64_t number = slotNumber();
    Slot &out = m_slots[static_cast<std::size_t>(number) % Slots];
    if (out.number != number)
        out = {.number = number};
    return out;
}

FleetRetryBudget::Usage FleetRetryBudget::usage(int routers) const
{
    const std::int64_t now = slotNumber();
    Usage out;
    for (const Slot &it : m_slots) {
        if (it.number < 0 || now - it.number > SlotsPerWindow)
            continue;
        out.retries += it.retries;
        out.unanswered += it.unanswered;
        // One slot fewer than for retries, since a window may begin anywhere within a slot.
        if (now - it.number < SlotsPerWindow)
            out.requests += it.requests;
    }
    const double slack = m_options.slack / std::max(1, routers);
    const double windows =
            toSeconds(m_options.clock.now() - m_refilledAt) / toSeconds(m_options.window);
    out.limit = m_options.share * out.requests + slack;
    // One token keeps what is earned usable while many attempts are unanswered.
    const double size = SavedFraction * out.limit;
    const double unreserved = std::max(size - out.unanswered, std::min(size, 1.0));
    out.available = std::min(m_tokens + EarnedFraction * slack * windows, unreserved);
    return out;
}

void FleetRetryBudget::countRequest()
{
    ++currentSlot().requests;
    m_tokens += EarnedFraction * m_options.share;
}

void FleetRetryBudget::noteUnanswered()
{
    ++currentSlot().unanswered;
}

bool FleetRetryBudget::tryRetry(int routers)
{
    const Usage used = usage(routers);
    m_tokens = used.available;
    m_refilledAt = m_options.clock.now();
    if (m_tokens < m_threshold) {
        logExhausted(used, routers);
        return false;
    }
    m_tokens -= 1;
    m_threshold = drawThreshold(m_options.random);
    ++currentSlot().retries;
    return true;
}

void FleetRetryBudget::logExhausted(const Usage &usage, int routers)
{
    const TimePoint now = m_options.clock.now();
    if (m_exhaustedLoggedAt != TimePoint::min() && now - m_exhaustedLoggedAt < LogInterval)
        return;
    m_exhaustedLoggedAt = now;
    Log::info("retry_budget_exhausted",
              {{"service", m_options.service},
               {"requests", usage.requests},
               {"retries", usage.retries},
               {"unanswered", usage.unanswered},
               {"limit", usage.limit},
               {"available", usage.available},
               {"routers", routers},
               {"counted_for_ms", (now - m_startedAt) / std::chrono::milliseconds(1)}});
}

void FleetRetryBudget::setOptions(double share, double slack)
{
    m_options.share = share;
    m_options.slack = slack;
}

} // namespace catkinloft
