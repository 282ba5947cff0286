#include "Control/ConfigSpread.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Number of changes stored: about four minutes at 25,000 a day. A router that was partitioned for
/// longer receives the whole text once.
constexpr std::size_t MaxSteps = 64;

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
constexpr int QuickTries = 12;

/// After the quick attempts the timeout doubles this many times, so that requests for a revision
/// that no peer can provide cost little.
constexpr int MaxDoublings = 5;

Duration pauseAfter(int tries)
{
    return AnswerTimeout * (1 << std::clamp(tries - QuickTries, 0, MaxDoublings));
}

std::size_t sizeOf(const TextDelta &delta)
{
    std::size_t out = 0;
    for (const TextHunk &it : delta)
        out += it.inserted.size() + HunkBytes;
    return out;
}

bool same(const ConfigDigest &a, const ConfigDigest &b)
{
    return a.revision == b.revision && a.hash == b.hash;
}

} // namespace

ConfigSpread::ConfigSpread(Options options) : m_options(std::move(options))
{
    m_options.config.replacing().connect([this](const std::string &next) { noteStep(next); });
    m_options.config.changed().connect([this](const InventoryPtr &) {
        if (!m_steps.empty() && m_before.revision != 0)
            m_steps.back().to = m_options.config.digest();
        m_options.membership.gossip();
    });
    m_options.membership.changed().connect([this](const Member &it) {
        if (it.state == MemberState::Dead)
            m_holders.erase(it.name);
    });
}

void ConfigSpread::noteStep(const std::string &next)
{
    m_before = m_options.config.digest();
    if (m_before.revision == 0)
        return;
    TextDelta delta =
            m_hasArriving ? std::move(m_arriving) : makeTextDelta(m_options.config.text(), next);
    m_hasArriving = false;
    m_steps.push_back({.from = m_before, .to = {}, .delta = std::move(delta)});
    if (m_steps.size() > MaxSteps)
        m_steps.pop_front();
}

void ConfigSpread::receive(const std::string &address, const PeerMessage &message)
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
            const bool isNews = message.digest.revision > m_wanted;
            m_wanted = std::max(m_wanted, message.digest.revision);
            m_wantedFrom = address;
            m_asked = isNews ? 0 : m_asked;
            if (isNews || m_options.clock.now() >= m_askAgain)
                request(address);
        }
        break;
    }
    checkWaiters();
}

void ConfigSpread::request(const std::string &address)
{
    m_askAgain = m_options.clock.now() + pauseAfter(m_asked++);
    m_options.send(address, m_options.membership.compose(PeerMessageKind::ConfigRequest, {}));
}

void ConfigSpread::answer(const std::string &address, const PeerMessage &message)
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

PeerMessage ConfigSpread::deltaSince(const ConfigDigest &base) const
{
    PeerMessage out = m_options.membership.compose(PeerMessageKind::ConfigDelta, {});
    const auto first = std::find_if(m_steps.begin(), m_steps.end(),
                                    [&](const Step &it) { return same(it.from, base); });
    if (first == m_steps.end() || base.revision == 0) {
        out.delta = {{.at = 0, .removed = 0, .inserted = m_options.config.text()}};
        return out;
    }
    out.base = base;
    out.delta = first->delta;
    out.digest = first->to;
    return out;
}

void ConfigSpread::applyDelta(const PeerMessage &message)
{
    const ConfigDigest mine = m_options.config.digest();
    if (message.digest.revision <= mine.revision)
        return;
    const bool isWhole = message.base.revision == 0;
    if (!isWhole && !same(message.base, mine))
        return;
    const Result<std::string> text =
            applyTextDelta(isWhole ? std::string_view() : m_options.config.text(), message.delta);
    if (!text)
        return;
    m_hasArriving = !isWhole;
    m_arriving = message.delta;
    m_options.config.takeOver(message.digest, text.value());
    m_hasArriving = false;
    m_asked = 0;
    if (m_options.config.digest().revision < m_wanted)
        request(m_wantedFrom);
}

void ConfigSpread::poll()
{
    const TimePoint now = m_options.clock.now();
    if (m_wanted > m_options.config.digest().revision && now >= m_askAgain) {
        // Every second attempt goes to a random peer: the one that announced it may be gone.
        const std::string other =
                m_asked % 2 == 0 ? std::string() : m_options.membership.randomAddress();
        request(other.empty() ? m_wantedFrom : other);
    }
    checkWaiters();
}

TimePoint ConfigSpread::nextDeadline() const
{
    TimePoint out = m_wanted > m_options.config.digest().revision ? m_askAgain : TimePoint::max();
    for (const Waiter &it : m_waiters)
        out = std::min(out, it.deadline);
    return out;
}

std::size_t ConfigSpread::holders(std::uint64_t revision) const
{
    return static_cast<std::size_t>(
            std::count_if(m_holders.begin(), m_holders.end(), [&](const auto &it) {
                const auto member = m_options.membership.members().find(it.first);
                return it.second >= revision && member != m_options.membership.members().end()
                        && member->second.state != MemberState::Dead;
            }));
}

std::uint64_t ConfigSpread::revisionOf(std::string_view name) const
{
    const auto it = m_holders.find(name);
    return it == m_holders.end() ? 0 : it->second;
}

void ConfigSpread::awaitHolders(std::uint64_t revision, std::size_t wanted, TimePoint deadline,
                                std::function<void(std::size_t)> done)
{
    m_waiters.push_back({.revision = revision,
                         .wanted = wanted,
                         .deadline = deadline,
                         .done = std::move(done)});
    checkWaiters();
}

void ConfigSpread::checkWaiters()
{
    const TimePoint now = m_options.clock.now();
    for (std::size_t i = 0; i < m_waiters.size();) {
        const Waiter &it = m_waiters[i];
        const std::size_t n = holders(it.revision);
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
