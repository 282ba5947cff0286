#include "Control/FleetView.h"

#include "Base/Hash.h"
#include "Base/Log.h"
#include "Decide/Rendezvous.h"

#include <algorithm>
#include <set>

namespace catkinloft {

namespace {

/// Fraction of the time in which changes must become active. A healthy reader receives an answer of
/// the store within a fifth of that time, and its previous answer is as old again; a reader that
/// waits longer than this fraction has lost the store.
constexpr double MaxUnansweredFraction = 0.65;

/// Rounds of heartbeats in which one is received from every running router, even if one datagram is
/// lost. A router without a heartbeat for longer does not read the store for the others, and is not
/// named to callers after a start.
constexpr int MaxSilentRounds = 2;

/// How long after its start a router names others to callers from which it has not received a
/// heartbeat. By then it has received heartbeats from a part of them in a fleet of any size.
constexpr Duration UnseenAdvertisePeriod = std::chrono::seconds(3);

} // namespace

bool FleetView::receive(const RouterHeartbeat &heartbeat)
{
    if (heartbeat.name == m_options.self)
        return false;
    const auto known = m_peers.find(heartbeat.name);
    if (known != m_peers.end()) {
        const RouterHeartbeat &last = known->second.heartbeat;
        const auto order = [](const RouterHeartbeat &it) {
            return std::pair(it.incarnation, it.sequence);
        };
        if (order(heartbeat) <= order(last))
            return false;
        if (last.ready != heartbeat.ready || last.leaving != heartbeat.leaving)
            Log::info("router_changed",
                      {{"router", heartbeat.name},
                       {"ready", heartbeat.ready},
                       {"leaving", heartbeat.leaving}});
    } else {
        Log::info("router_joined",
                  {{"router", heartbeat.name}, {"address", heartbeat.callerAddress}});
    }
    m_peers[heartbeat.name] = {heartbeat, m_options.clock.now()};
    m_suspects.erase(heartbeat.name);
    addAddress(heartbeat.peerAddress);
    return true;
}

void FleetView::addAddress(const std::string &peerAddress)
{
    if (std::find(m_addresses.begin(), m_addresses.end(), peerAddress) == m_addresses.end())
        m_addresses.push_back(peerAddress);
}

void FleetView::setRegistered(std::span<const RegisteredRouter> routers)
{
    const TimePoint now = m_options.clock.now();
    if (!m_registeredAt)
        m_registeredAt = now;
    m_registered.clear();
    for (const RegisteredRouter &it : routers)
        m_registered.emplace(it.name, it);
    std::erase_if(m_peers, [&](const auto &it) {
        return now - it.second.receivedAt > m_options.sharingTimeout;
    });
    std::set<std::string> known;
    for (const auto &[name, it] : m_registered)
        known.insert(it.peerAddress);
    for (const auto &[name, it] : m_peers)
        known.insert(it.heartbeat.peerAddress);
    std::erase_if(m_addresses, [&](const std::string &it) { return !known.contains(it); });
    for (const RegisteredRouter &it : routers)
        addAddress(it.peerAddress);
    // Otherwise, routers that start together would all send heartbeats to the same targets at the
    // same time.
    if (m_next == 0 && !m_addresses.empty())
        m_next = hash64(m_options.self) % m_addresses.size();
}

void FleetView::noteUnanswered(const std::string &name, TimePoint asked)
{
    const auto peer = m_peers.find(name);
    if (peer != m_peers.end() && peer->second.receivedAt >= asked)
        return;
    m_suspects[name] = m_options.clock.now();
    Log::info("router_suspected", {{"router", name}});
}

bool FleetView::isSuspect(const std::string &name) const
{
    const auto it = m_suspects.find(name);
    return it != m_suspects.end() && m_options.clock.now() - it->second <= m_options.suspicion;
}

std::size_t FleetView::heartbeatsPerRound() const
{
    return (m_addresses.size() + HeartbeatFanout - 1) / HeartbeatFanout;
}

Duration FleetView::roundTime() const
{
    return HeartbeatInterval * static_cast<int>(heartbeatsPerRound());
}

std::vector<RegisteredRouter> FleetView::unseen() const
{
    std::vector<RegisteredRouter> out;
    if (!m_registeredAt
        || m_options.clock.now() - *m_registeredAt
                > MaxSilentRounds * roundTime() + m_options.heartbeatTimeout)
        return out;
    for (const auto &[name, it] : m_registered) {
        if (!m_peers.contains(name) && !isSuspect(name))
            out.push_back(it);
    }
    return out;
}

std::string FleetView::peerAddressOf(const std::string &name) const
{
    const auto peer = m_peers.find(name);
    if (peer != m_peers.end())
        return peer->second.heartbeat.peerAddress;
    const auto registered = m_registered.find(name);
    return registered == m_registered.end() ? std::string() : registered->second.peerAddress;
}

std::vector<std::string> FleetView::nextTargets(std::size_t n)
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < std::min(n, m_addresses.size()); ++i)
        out.push_back(m_addresses[m_next++ % m_addresses.size()]);
    return out;
}

std::vector<std::string> FleetView::holdersOf(std::string_view subject, std::size_t n) const
{
    const std::uint64_t key = hash64(subject);
    std::vector<std::string> out = m_addresses;
    n = std::min(n, out.size());
    std::partial_sort(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(n), out.end(),
                      [key](const std::string &a, const std::string &b) {
                          return rendezvousScore(key, hash64(a), 1)
                                  > rendezvousScore(key, hash64(b), 1);
                      });
    out.resize(n);
    return out;
}

bool FleetView::isChosenFor(std::string_view subject, std::size_t n) const
{
    if (!m_registeredAt)
        return false;
    const std::uint64_t key = hash64(subject);
    const double own = rendezvousScore(key, hash64(m_options.selfAddress), 1);
    const auto before =
            std::count_if(m_addresses.begin(), m_addresses.end(), [&](const std::string &it) {
                return it != m_options.selfAddress && rendezvousScore(key, hash64(it), 1) > own;
            });
    return static_cast<std::size_t>(before) < n;
}

std::vector<RegisteredRouter> FleetView::unseenToAdvertise() const
{
    const bool isEarly =
            m_registeredAt && m_options.clock.now() - *m_registeredAt <= UnseenAdvertisePeriod;
    return isEarly ? unseen() : std::vector<RegisteredRouter>();
}

bool FleetView::isLive(const Peer &peer) const
{
    return m_options.clock.now() - peer.receivedAt <= m_options.heartbeatTimeout;
}

std::vector<const FleetView::Peer *> FleetView::live() const
{
    std::vector<const Peer *> out;
    for (const auto &[name, peer] : m_peers) {
        if (isLive(peer))
            out.push_back(&peer);
    }
    return out;
}

int FleetView::sharingRouters() const
{
    const TimePoint now = m_options.clock.now();
    const auto recent = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &it) {
        return now - it.second.receivedAt <= m_options.sharingTimeout;
    });
    // Registered routers may serve even if no heartbeat of them was ever received.
    return static_cast<int>(
            std::max<std::size_t>(static_cast<std::size_t>(recent), m_addresses.size()) + 1);
}

bool FleetView::mayRead(const Reader &it) const
{
    // The freshness proof is no evidence here: another router may have renewed it.
    return !it.leaving && !it.storeFailing
            && it.storeUnansweredFor <= scaled(m_options.configApplyTimeout, MaxUnansweredFraction)
            && !isSuspect(std::string(it.name));
}

std::vector<std::string> FleetView::readers(const Reader &self) const
{
    const Duration maxSilence = MaxSilentRounds * roundTime() + m_options.heartbeatTimeout;
    const std::vector<RegisteredRouter> unseenRouters = unseen();
    std::vector<Reader> candidates;
    const auto add = [&](const Reader &it) {
        if (mayRead(it))
            candidates.push_back(it);
    };
    add(self);
    for (const auto &[name, it] : m_peers) {
        if (m_options.clock.now() - it.receivedAt > maxSilence)
            continue;
        add({.name = it.heartbeat.name,
             .processorShare = it.heartbeat.processorShare,
             .leaving = it.heartbeat.leaving,
             .storeFailing = it.heartbeat.storeFailing,
             .storeUnansweredFor = it.heartbeat.storeUnansweredFor});
    }
    for (const RegisteredRouter &it : unseenRouters)
        add({.name = it.name, .processorShare = it.processorShare});
    const auto rank = [](const Reader &it) {
        return std::pair(-it.processorShare, hash64(it.name));
    };
    std::sort(candidates.begin(), candidates.end(),
              [&](const Reader &a, const Reader &b) { return rank(a) < rank(b); });
    candidates.resize(std::min(candidates.size(), ReaderCount));
    std::vector<std::string> out;
    out.reserve(candidates.size());
    for (const Reader &it : candidates)
        out.emplace_back(it.name);
    return out;
}

const FleetView::Peer *FleetView::find(const std::string &name) const
{
    const auto it = m_peers.find(name);
    return it != m_peers.end() && isLive(it->second) ? &it->second : nullptr;
}

const FleetView::Peer *FleetView::freshest(Duration maxAge) const
{
    const Peer *best = nullptr;
    for (const Peer *it : live()) {
        if (it->heartbeat.proofAge > maxAge)
            continue;
        if (!best || it->heartbeat.revision > best->heartbeat.revision
            || (it->heartbeat.revision == best->heartbeat.revision
                && it->heartbeat.proofAge < best->heartbeat.proofAge))
            best = it;
    }
    return best;
}

} // namespace catkinloft
