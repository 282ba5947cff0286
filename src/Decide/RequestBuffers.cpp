#include "Decide/RequestBuffers.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace catkinloft {

namespace {

/// Added to the age of shares, so that the largest of those that are equally young gives way.
constexpr Duration MinAge = std::chrono::milliseconds(100);

/// Fraction of the limit below which shares give way last. A router has some thousand connections,
/// so that shares of this size can't fill the memory.
constexpr std::size_t SmallFraction = 8192;

/// Part of the limit that requests in progress may take while a request of any size is handled
/// beside them.
constexpr std::size_t CalmFraction = 4;

/// \returns 0 for no bytes.
std::size_t sizeClassOf(std::size_t size)
{
    return static_cast<std::size_t>(std::bit_width(size));
}

} // namespace

RequestBuffers::Share::Share(RequestBuffers &buffers, std::function<void()> giveUp)
    : m_buffers(buffers), m_giveUp(std::move(giveUp)), m_since(buffers.m_clock.now()), m_node{this},
      m_position(m_node.begin())
{ }

RequestBuffers::Share::~Share()
{
    clear();
}

void RequestBuffers::Share::clear()
{
    classify(0);
    m_buffers.m_held -= std::exchange(m_held, 0);
    m_buffers.m_running -= std::exchange(m_running, 0);
}

void RequestBuffers::Share::hold(std::size_t size)
{
    if (m_isGivenUp || size == m_held)
        return;
    const bool isGrowing = size > m_held;
    m_buffers.m_held += size - m_held;
    m_held = size;
    // A connection whose memory shrinks a little now and then does not become young again.
    if (const std::size_t it = sizeClassOf(size); it == 0 || it > m_class)
        classify(it);
    if (isGrowing)
        m_buffers.makeRoom();
}

bool RequestBuffers::Share::run(std::size_t size)
{
    if (m_isGivenUp)
        return false;
    const std::size_t others = m_buffers.m_running - m_running;
    if (size > m_running && others > m_buffers.m_limit / CalmFraction
        && others + size > m_buffers.m_limit)
        return false;
    m_buffers.m_running = others + size;
    m_running = size;
    m_buffers.makeRoom();
    return true;
}

void RequestBuffers::Share::classify(std::size_t sizeClass)
{
    if (sizeClass == m_class)
        return;
    Node &from = m_class == 0 ? m_node : m_buffers.m_classes[m_class];
    Node &to = sizeClass == 0 ? m_node : m_buffers.m_classes[sizeClass];
    to.splice(to.end(), from, m_position);
    m_class = sizeClass;
    m_since = m_buffers.m_clock.now();
}

RequestBuffers::Share *RequestBuffers::mostExpensive(std::size_t firstClass,
                                                     std::size_t lastClass) const
{
    const TimePoint now = m_clock.now();
    Share *out = nullptr;
    double highest = 0;
    for (std::size_t i = firstClass; i <= lastClass; ++i) {
        if (m_classes[i].empty())
            continue;
        Share *it = m_classes[i].front();
        const double cost = static_cast<double>(it->m_held) * toSeconds(now - it->m_since + MinAge);
        if (out && cost <= highest)
            continue;
        out = it;
        highest = cost;
    }
    return out;
}

void RequestBuffers::makeRoom()
{
    const std::size_t firstLarge = sizeClassOf(m_limit / SmallFraction) + 1;
    while (used() > m_limit) {
        Share *it = mostExpensive(firstLarge, Classes - 1);
        if (!it)
            it = mostExpensive(1, firstLarge - 1);
        if (!it)
            return;
        it->clear();
        it->m_isGivenUp = true;
        it->m_giveUp();
    }
}

} // namespace catkinloft
