#include "Control/ConfigPropagator.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Number of changes stored: about four minutes at 25,000 a day. A router that was partitioned for
/// longer receives the whole text once.
constexpr std::size_t MaxRecentChanges = 64;

/// Largest delta text in one datagram. The rest of the 1,200 bytes is needed for names, digests,
/// the MAC and JSON escapes.
constexpr std::size_t MaxDatagramDelta = 700;

/// Encoded size of a hunk without its text.
constexpr std::size_t HunkBytes = 24;

/// Timeout of a request; after it another attempt is made. At a packet loss of one fifth one
/// attempt in three fails, so it is very unlikely that all twelve quick attempts within the 4 s
/// that a change may take fail. With a timeout that doubled from the start, one change in seven
/// took longer than 4 s on at least one of nine routers.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(250);
constexpr int QuickAttempts = 12;

/// After the quick attempts the timeout doubles this many times, so that requests for a revision
/// that no peer can provide cost little.
constexpr int MaxDoublings = 5;

Duration answerTimeoutAfter(int attempts)
{
    return AnswerTimeout * (1 << std::clamp(attempts - QuickAttempts, 0, MaxDoublings));
}

std::size_t sizeOf(const TextDelta &delta)
{
    std::size_t out = 0;
    for (const TextHunk &it : delta)
        out += it.inserted.size() + HunkBytes;
    return out;
}

bool sameDigest(const ConfigDigest &a, const ConfigDigest &b)
{
    return a.revision == b.revision && a.hash == b.hash;
}

} // namespace

ConfigPropagator::ConfigPropagator(Options options) : m_options(std::move(options))
{
    m_options.config.aboutToChange().connect(
            [this](const std::string &next) { recordChange(next); });
    m_options.config.changed().connect([this](const InventoryPtr &) {
        if (!m_recentChanges.empty() && m_previousDigest.revision != 0)
            m_recentChanges.back().to = m_options.config.digest();
        m_options.membership.gossip();
    });
    m_options.membership.changed().connect([this](const Member &it) {
        if (it.state == MemberState::Dead)
            m_holders.erase(it.name);
    });
}

void ConfigPropagator::recordChange(const std::string &next)
{
    m_previousDigest = m_options.config.digest();
    if (m_previousDigest.revision == 0)
        return;
    TextDelta delta = m_hasReceivedDelta ? std::move(m_receivedDelta)
                                         : makeTextDelta(m_options.config.text(), next);
    m_hasReceivedDelta = false;
    m_recentChanges.push_back({.from = m_previousDigest, .to = {}, .delta = std::move(delta)});
    if (m_recentChanges.size() > MaxRecentChanges)
        m_recentChanges.pop_front();
}

void ConfigPropagator::receive(const std::string &address, const PeerMessage &message)
{
    std::uint64_t &held = m_holders[message.from];
    held = std::max(held, message.digest.revision);
    const std::uint64_t mine = m_options.config.digest().revision;
    switch (message.kind) {
    case PeerMessageKind::ConfigRequest:
        answer(address, message);
        break;
    case PeerMessageKind::ConfigDelta:
        applyDelta(message);
        break;
    case PeerMessageKind::ConfigLarge:
        if (message.digest.revision > mine && m_options.fetchLarge)
            m_options.fetchLarge(address, m_options.config.digest());
        break;
    default:
        if (message.digest.revision > mine) {
            const bool isNewer = message.digest.revision > m_newestKnown;
            m_newestKnown = std::max(m_newestKnown, message.digest.revision);
            m_newestKnownFrom = address;
            m_unansweredRequests = isNewer ? 0 : m_unansweredRequests;
            if (isNewer || m_options.clock.now() >= m_nextRequestAt)
                request(address);
        }
        break;
    }
    checkWaiters();
}

void ConfigPropagator::request(const std::string &address)
{
    m_nextRequestAt = m_options.clock.now() + answerTimeoutAfter(m_unansweredRequests++);
    m_options.send(address, m_options.membership.compose(PeerMessageKind::ConfigRequest, {}));
}

void ConfigPropagator::answer(const std::string &address, const PeerMessage &message)
{
    if (message.digest.revision >= m_options.config.digest().revision)
        return;
    PeerMessage out = deltaSince(message.digest);
    if (sizeOf(out.delta) > MaxDatagramDelta) {
        out.kind = PeerMessageKind::ConfigLarge;
        out.digest = m_options.config.digest();
        out.base = {};
        out.delta.clear();
    }
    out.to = message.from;
    m_options.send(address, std::move(out));
}

PeerMessage ConfigPropagator::deltaSince(const ConfigDigest &base) const
{
    PeerMessage out = m_options.membership.compose(PeerMessageKind::ConfigDelta, {});
    const auto first = std::find_if(m_recentChanges.begin(), m_recentChanges.end(),
                                    [&](const Change &it) { return sameDigest(it.from, base); });
    if (first == m_recentChanges.end() || base.revision == 0) {
        out.delta = {{.at = 0, .removed = 0, .inserted = m_options.config.text()}};
        return out;
    }
    out.base = base;
    out.delta = first->delta;
    out.digest = first->to;
    return out;
}

void ConfigPropagator::applyDelta(const PeerMessage &message)
{
    const ConfigDigest mine = m_options.config.digest();
    if (message.digest.revision <= mine.revision)
        return;
    const bool isWhole = message.base.revision == 0;
    if (!isWhole && !sameDigest(message.base, mine))
        return;
    const Result<std::string> text =
            applyTextDelta(isWhole ? std::string_view() : m_options.config.text(), message.delta);
    if (!text)
        return;
    m_hasReceivedDelta = !isWhole;
    m_receivedDelta = message.delta;
    m_options.config.activate(message.digest, text.value());
    m_hasReceivedDelta = false;
    m_unansweredRequests = 0;
    if (m_options.config.digest().revision < m_newestKnown)
        request(m_newestKnownFrom);
}

void ConfigPropagator::poll()
{
    const TimePoint now = m_options.clock.now();
    if (m_newestKnown > m_options.config.digest().revision && now >= m_nextRequestAt) {
        // Every second attempt goes to a random peer: the one that announced it may be gone.
        const std::string other = m_unansweredRequests % 2 == 0
                ? std::string()
                : m_options.membership.randomAddress();
        request(other.empty() ? m_newestKnownFrom : other);
    }
    checkWaiters();
}

TimePoint ConfigPropagator::nextDeadline() const
{
    TimePoint out =
            m_newestKnown > m_options.config.digest().revision ? m_nextRequestAt : TimePoint::max();
    for (const Waiter &it : m_waiters)
        out = std::min(out, it.deadline);
    return out;
}

std::size_t ConfigPropagator::countHolders(std::uint64_t revision) const
{
    return static_cast<std::size_t>(
            std::count_if(m_holders.begin(), m_holders.end(), [&](const auto &it) {
                const auto member = m_options.membership.members().find(it.first);
                return it.second >= revision && member != m_options.membership.members().end()
                        && member->second.state != MemberState::Dead;
            }));
}

std::uint64_t ConfigPropagator::revisionOf(std::string_view name) const
{
    const auto it = m_holders.find(name);
    return it == m_holders.end() ? 0 : it->second;
}

void ConfigPropagator::awaitHolders(std::uint64_t revision, std::size_t wanted, TimePoint deadline,
                                    std::function<void(std::size_t)> done)
{
    m_waiters.push_back({.revision = revision,
                         .wanted = wanted,
                         .deadline = deadline,
                         .done = std::move(done)});
    checkWaiters();
}

void ConfigPropagator::checkWaiters()
{
    const TimePoint now = m_options.clock.now();
    for (std::size_t i = 0; i < m_waiters.size();) {
        const Waiter &it = m_waiters[i];
        const std::size_t n = countHolders(it.revision);
        if (n < it.wanted && now < it.deadline) {
            ++i;
            continue;
        }
        const auto done = it.done;
        m_waiters.erase(m_waiters.begin() + static_cast<std::ptrdiff_t>(i));
        done(n);
    }
}

} // namespace catkinloft
