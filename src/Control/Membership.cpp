#include "Control/Membership.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkinloft {

namespace {

/// Updates in one message, about 110 bytes each. Together with the limit on a delta, this keeps a
/// datagram below the 1,200 bytes that no link fragments.
constexpr std::size_t UpdatesPerMessage = 3;

/// Members in one page of the full list; limited for the same reason.
constexpr std::size_t SyncPage = 6;

/// Transmissions of one update for each factor of ten in the number of members. Without loss, three
/// times log10(890) = 9 transmissions reach all but one in e^9 members; the comparison of full
/// lists covers the rest.
constexpr double SendsPerDecade = 3;

/// Pause before gossip is sent a second time. It is longer than a round trip, so that the members
/// reached by the first transmission take part in the second.
constexpr Duration GossipPause = std::chrono::milliseconds(250);

/// Candidates that are contacted in one period. The list of 890 VMs is covered within minutes and
/// without a burst of messages.
constexpr std::size_t CandidatesPerPeriod = 2;

bool isUp(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

} // namespace

Membership::Membership(Options options)
    : m_options(std::move(options)), m_self(m_options.self), m_nextPeriod(m_options.clock.now()),
      m_nextSync(m_options.clock.now() + std::chrono::seconds(2))
{
    m_updates.add(m_self);
}

void Membership::addSeed(const std::string &peerAddress)
{
    if (peerAddress != m_self.peerAddress)
        m_candidates.emplace("seed " + peerAddress, peerAddress);
}

void Membership::setVms(const std::vector<VmEntry> &vms)
{
    std::erase_if(m_candidates, [](const auto &it) { return !it.first.starts_with("seed "); });
    for (const VmEntry &it : vms) {
        const auto known = m_members.find(it.name);
        if (it.name != m_self.name && (known == m_members.end() || !isUp(known->second.state)))
            m_candidates[it.name] = it.peerAddress;
    }
}

PeerMessage Membership::compose(PeerMessageKind kind, std::string_view to)
{
    PeerMessage out{.kind = kind,
                    .from = m_self.name,
                    .to = std::string(to),
                    .incarnation = m_self.incarnation,
                    .load = m_load};
    if (m_options.digest)
        out.digest = m_options.digest();
    return out;
}

std::size_t Membership::maxUpdatesPerMessage() const
{
    // Near the byte limit, updates wait for later messages.
    return !m_options.mayDefer || m_options.mayDefer() ? UpdatesPerMessage : 1;
}

void Membership::sendTo(const Member &member, PeerMessage message)
{
    if (message.updates.empty())
        message.updates = m_updates.take(maxUpdatesPerMessage(), maxSends());
    m_options.send(member.peerAddress, std::move(message));
}

int Membership::maxSends() const
{
    return static_cast<int>(
            std::ceil(SendsPerDecade * std::log10(static_cast<double>(m_members.size()) + 10)));
}

Duration Membership::suspicionTime() const
{
    // A refutation has to reach all members, and dissemination time grows with the logarithm of
    // their number. The result is 6 s for 890 members and 2.6 s for 9.
    const double decades = std::log10(static_cast<double>(m_members.size()) + 10);
    return scaled(m_options.timing.period, m_options.timing.suspicionPeriods * decades);
}

void Membership::receive(const std::string &address, const PeerMessage &message)
{
    if (message.from == m_self.name)
        return;
    m_lastReceivedAt = m_options.clock.now();
    // Pages of the full list hold what other members already know; disseminating it again would
    // displace new updates.
    const bool disseminate = message.kind != PeerMessageKind::Sync;
    for (const Member &it : message.updates)
        accept(it, disseminate);
    handleSender(address, message);
    switch (message.kind) {
    case PeerMessageKind::Ping: {
        PeerMessage ack = compose(PeerMessageKind::Ack, message.from);
        ack.probe = message.probe;
        ack.updates = m_updates.take(maxUpdatesPerMessage(), maxSends());
        m_options.send(address, std::move(ack));
        break;
    }
    case PeerMessageKind::Ack:
        if (m_probe && m_probe->id == message.probe)
            m_probe->answered = true;
        relayAck(message);
        break;
    case PeerMessageKind::PingRequest:
        answerPingRequest(address, message);
        break;
    case PeerMessageKind::SyncRequest:
        answerSync(address, message);
        break;
    case PeerMessageKind::Sync:
        continueSync(message);
        break;
    case PeerMessageKind::Gossip:
    case PeerMessageKind::ConfigRequest:
    case PeerMessageKind::ConfigDelta:
    case PeerMessageKind::ConfigLarge:
        break;
    }
    if (m_gossipPending)
        gossip();
}

void Membership::handleSender(const std::string &address, const PeerMessage &message)
{
    const auto it = m_members.find(message.from);
    if (it == m_members.end() || message.incarnation > it->second.incarnation) {
        // An update is disseminated a bounded number of times and may not reach every member. A
        // router that receives a message from an unknown member requests a page of its list, which
        // starts with the member itself.
        PeerMessage request = compose(PeerMessageKind::SyncRequest, message.from);
        request.updates = {m_self};
        if (message.kind != PeerMessageKind::SyncRequest && message.kind != PeerMessageKind::Sync)
            m_options.send(address, std::move(request));
        return;
    }
    it->second.load = message.load;
    it->second.loadReceivedAt = m_lastReceivedAt;
    if (it->second.state == MemberState::Suspect || it->second.state == MemberState::Dead) {
        // The sender is alive, but only its own higher incarnation can refute the suspicion for all
        // members, so it is notified.
        PeerMessage notice = compose(PeerMessageKind::Gossip, message.from);
        notice.updates = {it->second};
        m_options.send(address, std::move(notice));
    }
}

void Membership::accept(const Member &update, bool disseminate)
{
    if (update.name == m_self.name) {
        refute(update);
        return;
    }
    const auto it = m_members.find(update.name);
    if (it == m_members.end() && update.state == MemberState::Dead)
        return;
    if (it != m_members.end() && !overrides(update, it->second))
        return;
    applyUpdate(update, disseminate);
}

void Membership::applyUpdate(const Member &update, bool disseminate)
{
    const auto old = m_members.find(update.name);
    const bool isNew = old == m_members.end();
    const bool stateChanged = isNew || old->second.state != update.state;
    Member &member = m_members[update.name];
    const Member before = member;
    member = update;
    member.load = before.load;
    member.loadReceivedAt = before.loadReceivedAt;
    if (disseminate)
        m_updates.add(update);
    if (isNew)
        m_order.insert(
                m_order.begin()
                        + static_cast<std::ptrdiff_t>(below(m_options.random, m_order.size() + 1)),
                update.name);
    m_candidates.erase(update.name);
    const TimePoint now = m_options.clock.now();
    if (update.state == MemberState::Suspect)
        m_deadlines[update.name] = now + suspicionTime();
    else if (update.state == MemberState::Dead)
        m_deadlines[update.name] = now + m_options.timing.deadRetention;
    else
        m_deadlines.erase(update.name);
    if (!stateChanged)
        return;
    // Callers must stop using the address of a dead or leaving router, so these updates do not wait
    // for the next probe.
    m_gossipPending = m_gossipPending || update.state == MemberState::Dead
            || update.state == MemberState::Leaving;
    m_changed.emit(member);
}

void Membership::refute(const Member &update)
{
    const bool wrong = update.state != m_self.state;
    if (update.incarnation < m_self.incarnation
        || (!wrong && update.incarnation == m_self.incarnation))
        return;
    m_self.incarnation = update.incarnation + 1;
    m_updates.add(m_self);
    m_gossipPending = true;
}

void Membership::answerPingRequest(const std::string &address, const PeerMessage &message)
{
    const std::uint64_t id = m_nextId++;
    m_relays[id] = {.address = address, .probe = message.probe, .sent = m_options.clock.now()};
    PeerMessage ping = compose(PeerMessageKind::Ping, message.target);
    ping.probe = id;
    ping.updates = m_updates.take(maxUpdatesPerMessage(), maxSends());
    m_options.send(message.targetAddress, std::move(ping));
}

void Membership::relayAck(const PeerMessage &message)
{
    const auto it = m_relays.find(message.probe);
    if (it == m_relays.end())
        return;
    PeerMessage ack = compose(PeerMessageKind::Ack, {});
    ack.probe = it->second.probe;
    m_options.send(it->second.address, std::move(ack));
    m_relays.erase(it);
}

void Membership::poll()
{
    const TimePoint now = m_options.clock.now();
    if (now >= nextAttempt())
        retryProbe();
    if (now >= m_gossipRepeatAt) {
        m_gossipRepeatAt = TimePoint::max();
        m_self.state == MemberState::Leaving ? announceLeave() : gossipNow();
    }
    if (now >= m_nextPeriod) {
        endProbe();
        expire();
        startProbe();
        if (m_syncAfter)
            requestPage();
        // Jitter keeps routers that started at the same time from probing in step.
        const double jitter = 0.9 + 0.2 * uniform(m_options.random);
        m_nextPeriod = now + scaled(m_options.timing.period, jitter);
    }
    if (now >= m_nextSync)
        startSync();
    if (m_gossipPending)
        gossip();
}

TimePoint Membership::nextDeadline() const
{
    return std::min({m_nextPeriod, m_nextSync, m_gossipRepeatAt, nextAttempt()});
}

std::string Membership::nextTarget()
{
    // A shuffled round bounds the time until each member is probed; independent random draws would
    // not.
    for (int round = 0; round < 2; ++round) {
        while (!m_order.empty()) {
            std::string name = std::move(m_order.back());
            m_order.pop_back();
            const auto it = m_members.find(name);
            if (it != m_members.end() && it->second.state != MemberState::Dead)
                return name;
        }
        for (const auto &[name, member] : m_members)
            m_order.push_back(name);
        for (std::size_t i = m_order.size(); i > 1; --i)
            std::swap(m_order[i - 1], m_order[below(m_options.random, i)]);
    }
    return {};
}

void Membership::startProbe()
{
    contactCandidates();
    const std::string name = m_retryTarget.empty() ? nextTarget() : m_retryTarget;
    if (!m_members.contains(name))
        return;
    m_probe = Probe{.target = name, .id = m_nextId++, .sent = m_options.clock.now()};
    PeerMessage ping = compose(PeerMessageKind::Ping, name);
    ping.probe = m_probe->id;
    const Member &member = m_members.at(name);
    // Every probe of a suspect member carries the suspicion, so that the member can refute it.
    if (member.state == MemberState::Suspect)
        ping.updates = {member};
    sendTo(member, std::move(ping));
}

TimePoint Membership::nextAttempt() const
{
    constexpr int MaxAttempts = 3;
    if (!m_probe || m_probe->answered || m_probe->attempts >= MaxAttempts)
        return TimePoint::max();
    return m_probe->sent + m_options.timing.ackTimeout * m_probe->attempts;
}

/// Retries the probe directly before it asks other members: a lost datagram is far more likely than
/// a broken path, and indirect probes cost a dozen messages.
void Membership::retryProbe()
{
    const auto it = m_members.find(m_probe->target);
    if (++m_probe->attempts > 2) {
        probeIndirectly();
    } else if (it != m_members.end()) {
        PeerMessage retry = compose(PeerMessageKind::Ping, it->first);
        retry.probe = m_probe->id;
        sendTo(it->second, std::move(retry));
    }
}

void Membership::probeIndirectly()
{
    const auto it = m_members.find(m_probe->target);
    if (it == m_members.end())
        return;
    const auto n = static_cast<std::size_t>(m_options.timing.indirectProbes);
    for (const Member *helper : randomMembers(n, m_probe->target)) {
        PeerMessage request = compose(PeerMessageKind::PingRequest, helper->name);
        request.probe = m_probe->id;
        request.target = it->first;
        request.targetAddress = it->second.peerAddress;
        sendTo(*helper, std::move(request));
    }
}

void Membership::endProbe()
{
    if (!m_probe)
        return;
    const Probe probe = *m_probe;
    m_probe.reset();
    const bool isSecond = std::exchange(m_retryTarget, {}) == probe.target;
    const auto it = m_members.find(probe.target);
    if (probe.answered || it == m_members.end())
        return;
    // If this router itself was paused, the missing answer says nothing about the target.
    if (m_options.clock.now() > probe.sent + 2 * m_options.timing.period)
        return;
    // Each suspicion is disseminated to all members and so is its refutation. With a fifth of the
    // datagrams lost, these updates would use up the whole byte limit of 90 routers. Waiting for a
    // second failed probe in a row delays detection by one second.
    if (!isSecond) {
        m_retryTarget = probe.target;
        return;
    }
    Member update = it->second;
    if (update.state == MemberState::Alive)
        update.state = MemberState::Suspect;
    else if (update.state == MemberState::Leaving)
        update.state = MemberState::Dead;
    if (overrides(update, it->second))
        applyUpdate(update);
}

void Membership::contactCandidates()
{
    std::vector<std::string> addresses;
    for (const auto &[name, address] : m_candidates) {
        // Seeds are used only while no other member is known.
        if (!name.starts_with("seed ") || liveCount() == 0)
            addresses.push_back(address);
    }
    for (std::size_t i = 0; i < CandidatesPerPeriod && !addresses.empty(); ++i) {
        const std::size_t at = below(m_options.random, addresses.size());
        PeerMessage request = compose(PeerMessageKind::SyncRequest, {});
        request.updates = {m_self};
        m_options.send(addresses[at], std::move(request));
        addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(at));
    }
}

void Membership::expire()
{
    const TimePoint now = m_options.clock.now();
    std::vector<std::string> due;
    for (const auto &[name, deadline] : m_deadlines) {
        if (now >= deadline)
            due.push_back(name);
    }
    for (const std::string &name : due) {
        Member member = m_members.at(name);
        if (member.state == MemberState::Suspect) {
            member.state = MemberState::Dead;
            applyUpdate(member);
        } else {
            m_deadlines.erase(name);
            m_members.erase(name);
        }
    }
    std::erase_if(m_relays, [&](const auto &it) {
        return now > it.second.sent + 2 * m_options.timing.period;
    });
}

void Membership::startSync()
{
    const double jitter = 0.5 + uniform(m_options.random);
    m_nextSync = m_options.clock.now() + scaled(m_options.timing.syncInterval, jitter);
    m_syncAfter = "";
    requestPage();
}

/// Handles routers that start in a fleet of 890 and read 150 pages each, 1,200 times a day in the
/// fleet. Each page is requested from another member, so that no member has to send the full list.
/// A lost page is requested again in the next period.
void Membership::requestPage()
{
    if (m_options.mayDefer && !m_options.mayDefer())
        return;
    for (const Member *it : randomMembers(1, {})) {
        PeerMessage request = compose(PeerMessageKind::SyncRequest, it->name);
        request.target = m_syncAfter.value_or("");
        request.updates = {m_self};
        // If the lists are equal, which is the usual case, the hash saves sending the pages.
        if (request.target.empty())
            request.listHash = listHash();
        m_options.send(it->peerAddress, std::move(request));
    }
}

std::uint64_t Membership::listHash() const
{
    // The sum does not depend on the order, as this router is not in its own list.
    const auto one = [](const Member &it) {
        return it.state == MemberState::Dead
                ? 0
                : hash64(it.name, it.incarnation * 8 + static_cast<std::uint64_t>(it.state));
    };
    std::uint64_t out = one(m_self);
    for (const auto &[name, member] : m_members)
        out += one(member);
    return out;
}

void Membership::answerSync(const std::string &address, const PeerMessage &message)
{
    if (m_options.mayDefer && !m_options.mayDefer())
        return;
    PeerMessage page = compose(PeerMessageKind::Sync, message.from);
    if (message.target.empty())
        page.updates.push_back(m_self);
    auto it = m_members.upper_bound(message.target);
    if (message.listHash != 0 && message.listHash == listHash())
        it = m_members.end();
    for (; it != m_members.end() && page.updates.size() < SyncPage; ++it) {
        if (it->first != message.from)
            page.updates.push_back(it->second);
    }
    if (it != m_members.end())
        page.target = std::prev(it)->first;
    m_options.send(address, std::move(page));
}

void Membership::continueSync(const PeerMessage &message)
{
    if (message.target.empty()) {
        m_syncAfter.reset();
        return;
    }
    // An answer to an older request must not move the position back.
    if (m_syncAfter.value_or("") >= message.target)
        return;
    m_syncAfter = message.target;
    requestPage();
}

void Membership::gossip()
{
    // If the byte limit leaves no room now, the gossip stays pending.
    if (m_options.mayDefer && !m_options.mayDefer())
        return;
    m_gossipPending = false;
    gossipNow();
    m_gossipRepeatAt = m_options.clock.now() + GossipPause;
}

void Membership::gossipNow()
{
    const auto n = static_cast<std::size_t>(m_options.timing.gossipFanout);
    for (const Member *it : randomMembers(n, {}))
        sendTo(*it, compose(PeerMessageKind::Gossip, it->name));
}

std::vector<const Member *> Membership::randomMembers(std::size_t n, std::string_view except)
{
    std::vector<const Member *> all;
    for (const auto &[name, member] : m_members) {
        if (member.state != MemberState::Dead && name != except)
            all.push_back(&member);
    }
    for (std::size_t i = 0; i < std::min(n, all.size()); ++i)
        std::swap(all[i], all[i + below(m_options.random, all.size() - i)]);
    all.resize(std::min(n, all.size()));
    return all;
}

std::string Membership::randomAddress()
{
    const auto some = randomMembers(1, {});
    return some.empty() ? std::string() : some.front()->peerAddress;
}

void Membership::leave()
{
    m_self.state = MemberState::Leaving;
    ++m_self.incarnation;
    m_updates.add(m_self);
    m_leaveRecipients.clear();
    for (const Member *it : randomMembers(m_members.size(), {}))
        m_leaveRecipients.push_back(it->name);
    announceLeave();
}

/// Notifies members directly that this router leaves, as many as there is time for. Other members
/// disseminate the update only a bounded number of times; a member that it does not reach would
/// name the stopped router to callers until probes fail.
void Membership::announceLeave()
{
    for (int i = 0; i < m_options.timing.gossipFanout && !m_leaveRecipients.empty(); ++i) {
        const auto it = m_members.find(m_leaveRecipients.back());
        m_leaveRecipients.pop_back();
        if (it == m_members.end())
            continue;
        PeerMessage notice = compose(PeerMessageKind::Gossip, it->first);
        notice.updates = {m_self};
        sendTo(it->second, std::move(notice));
    }
    if (!m_leaveRecipients.empty())
        m_gossipRepeatAt = m_options.clock.now() + GossipPause;
}

std::size_t Membership::liveCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_members.begin(), m_members.end(),
                          [](const auto &it) { return isUp(it.second.state); }));
}

} // namespace catkinloft
