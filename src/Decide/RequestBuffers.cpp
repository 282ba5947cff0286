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

/// Part of the limit that requests in progress leave to answers.
constexpr std::size_t ReserveFraction = 8;

/// Part of the limit that answers take before those that are being read give way like requests.
constexpr std::size_t AnswerFraction = 2;

/// Bytes of an answer that count as progress. A caller that reads less of it now and then keeps its
/// memory taken.
constexpr std::size_t ProgressBytes = std::size_t(64) * 1024;

/// Time without progress after which the caller of an answer counts as not reading it. The system
/// accepts the bytes for a slow connection in bursts, which are seconds apart.
constexpr Duration StallTime = std::chrono::seconds(5);

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
    resize(0);
    m_buffers.m_running -= std::exchange(m_running, 0);
}

void RequestBuffers::Share::hold(std::size_t size, Content content)
{
    if (m_isGivenUp || (size == m_held && content == m_content))
        return;
    const std::size_t before = m_held;
    if (content != m_content) {
        classify(0);
        resize(0);
        m_content = content;
    }
    resize(size);
    // A connection whose memory shrinks a little now and then does not become young again.
    if (const std::size_t it = sizeClassOf(size); it == 0 || it > m_class)
        classify(it);
    else if (content == Content::Answer && size < before)
        noteSent(before - size);
    if (size > before)
        m_buffers.makeRoom();
}

void RequestBuffers::Share::resize(std::size_t size)
{
    const std::size_t before = std::exchange(m_held, size);
    m_buffers.m_held += size - before;
    if (m_content == Content::Answer)
        m_buffers.m_answerBytes += size - before;
}

void RequestBuffers::Share::noteSent(std::size_t bytes)
{
    m_sent += bytes;
    const std::size_t sizeClass = sizeClassOf(m_held);
    if (m_sent < ProgressBytes && sizeClass == m_class)
        return;
    classify(0);
    classify(sizeClass);
}

bool RequestBuffers::Share::run(std::size_t size)
{
    if (m_isGivenUp)
        return false;
    const std::size_t others = m_buffers.m_running - m_running;
    if (size > m_running && others > m_buffers.m_limit / CalmFraction
        && !m_buffers.makeRoomToRun(others + size))
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
    ShareLists &lists = m_buffers.lists(m_content);
    Node &from = m_class == 0 ? m_node : lists[m_class];
    Node &to = sizeClass == 0 ? m_node : lists[sizeClass];
    to.splice(to.end(), from, m_position);
    m_class = sizeClass;
    m_since = m_buffers.m_clock.now();
    m_sent = 0;
}

RequestBuffers::Candidate RequestBuffers::mostExpensive(const ShareLists &lists,
                                                        std::size_t firstClass,
                                                        std::size_t lastClass,
                                                        Duration minAge) const
{
    const TimePoint now = m_clock.now();
    Candidate out;
    for (std::size_t i = firstClass; i <= lastClass; ++i) {
        if (lists[i].empty())
            continue;
        Share *it = lists[i].front();
        const Duration age = now - it->m_since;
        const double cost = static_cast<double>(it->m_held) * toSeconds(age + MinAge);
        if (age < minAge || (out.share && cost <= out.cost))
            continue;
        out = {.share = it, .cost = cost};
    }
    return out;
}

std::size_t RequestBuffers::firstLarge() const
{
    return sizeClassOf(m_limit / SmallFraction) + 1;
}

std::size_t RequestBuffers::reserve() const
{
    return m_limit / ReserveFraction;
}

RequestBuffers::Candidate RequestBuffers::unprotectedAnswer() const
{
    const bool areTooMany = m_answerBytes > m_limit / AnswerFraction;
    return mostExpensive(m_answers, firstLarge(), Classes - 1,
                         areTooMany ? Duration::zero() : StallTime);
}

RequestBuffers::Share *RequestBuffers::nextToGiveWay() const
{
    const Candidate request =
            mostExpensive(m_requests, firstLarge(), Classes - 1, Duration::zero());
    const Candidate answer = unprotectedAnswer();
    if (request.share || answer.share)
        return request.cost > answer.cost ? request.share : answer.share;
    const Candidate small = mostExpensive(m_requests, 1, firstLarge() - 1, Duration::zero());
    if (small.share || m_answerBytes <= reserve())
        return small.share;
    return mostExpensive(m_answers, 1, Classes - 1, Duration::zero()).share;
}

void RequestBuffers::giveWay(Share &it)
{
    it.clear();
    it.m_isGivenUp = true;
    it.m_giveUp();
}

void RequestBuffers::makeRoom()
{
    while (used() > m_limit) {
        Share *it = nextToGiveWay();
        if (!it)
            return;
        giveWay(*it);
    }
}

/// \returns whether requests in progress may take \a size bytes together.
bool RequestBuffers::makeRoomToRun(std::size_t size)
{
    while (size + std::max(m_answerBytes, reserve()) > m_limit) {
        Share *it = unprotectedAnswer().share;
        if (!it)
            return false;
        giveWay(*it);
    }
    return true;
}

} // namespace catkinloft
