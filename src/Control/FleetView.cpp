#include "Control/FleetView.h"

#include "Base/Hash.h"
#include "Base/Log.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// A reader in order gets an answer of the store within a fifth of the time in which changes have
/// to be in force, and the one before is as old again; a reader that waits longer has lost the
/// store.
constexpr double MaxSilencePart = 0.65;

} // namespace

bool FleetView::receive(const RouterBeat &beat)
{
    if (beat.name == m_options.self)
        return false;
    const auto known = m_peers.find(beat.name);
    if (known != m_peers.end()) {
        const RouterBeat &last = known->second.beat;
        const auto order = [](const RouterBeat &it) {
            return std::pair(it.incarnation, it.sequence);
        };
        if (order(beat) <= order(last))
            return false;
        if (last.ready != beat.ready || last.leaving != beat.leaving)
            Log::info("router_changed",
                      {{"router", beat.name}, {"ready", beat.ready}, {"leaving", beat.leaving}});
    } else {
        Log::info("router_joined", {{"router", beat.name}, {"address", beat.callerAddress}});
    }
    m_peers[beat.name] = {beat, m_options.clock.now()};
    addAddress(beat.peerAddress);
    return true;
}

void FleetView::addAddress(const std::string &peerAddress)
{
    if (std::find(m_addresses.begin(), m_addresses.end(), peerAddress) == m_addresses.end())
        m_addresses.push_back(peerAddress);
}

void FleetView::setRegistered(const std::vector<std::string> &peerAddresses)
{
    const TimePoint now = m_options.clock.now();
    std::erase_if(m_peers,
                  [&](const auto &it) { return now - it.second.heardAt > m_options.remembered; });
    std::erase_if(m_addresses, [&](const std::string &address) {
        const bool registered = std::find(peerAddresses.begin(), peerAddresses.end(), address)
                != peerAddresses.end();
        const bool heard = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &it) {
            return it.second.beat.peerAddress == address;
        });
        return !registered && !heard;
    });
    for (const std::string &it : peerAddresses)
        addAddress(it);
}

std::vector<std::string> FleetView::nextTargets(std::size_t n)
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < std::min(n, m_addresses.size()); ++i)
        out.push_back(m_addresses[m_next++ % m_addresses.size()]);
    return out;
}

bool FleetView::isLive(const Peer &peer) const
{
    return m_options.clock.now() - peer.heardAt <= m_options.silence;
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

int FleetView::sharers() const
{
    const TimePoint now = m_options.clock.now();
    const auto heard = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &it) {
        return now - it.second.heardAt <= m_options.remembered;
    });
    // Registered routers that were never heard may serve all the same.
    return static_cast<int>(
            std::max<std::size_t>(static_cast<std::size_t>(heard), m_addresses.size()) + 1);
}

std::vector<std::string> FleetView::readers(const Reader &self) const
{
    const Duration longest = scaled(m_options.configLimit, MaxSilencePart);
    std::vector<Reader> able;
    const auto add = [&](const Reader &it) {
        // Its proof says nothing: another router may have renewed it.
        if (!it.leaving && !it.storeFailing && it.storeSilence <= longest)
            able.push_back(it);
    };
    add(self);
    for (const Peer *it : live())
        add({.name = it->beat.name,
             .processorShare = it->beat.processorShare,
             .leaving = it->beat.leaving,
             .storeFailing = it->beat.storeFailing,
             .storeSilence = it->beat.storeSilence});
    const auto rank = [](const Reader &it) {
        return std::pair(-it.processorShare, hash64(it.name));
    };
    std::sort(able.begin(), able.end(),
              [&](const Reader &a, const Reader &b) { return rank(a) < rank(b); });
    able.resize(std::min(able.size(), ReaderCount));
    std::vector<std::string> out;
    out.reserve(able.size());
    for (const Reader &it : able)
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
        if (it->beat.proofAge > maxAge)
            continue;
        if (!best || it->beat.revision > best->beat.revision
            || (it->beat.revision == best->beat.revision
                && it->beat.proofAge < best->beat.proofAge))
            best = it;
    }
    return best;
}

} // namespace catkinloft
