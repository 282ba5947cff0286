#pragma once

#include "Base/ManualClock.h"
#include "Control/ConfigPropagator.h"
#include "Control/Membership.h"
#include "Control/PeerCodec.h"
#include "Control/TrafficGovernor.h"
#include "FakePlatform.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace catkinloft::fakes {

/// \brief Simulates the membership and configuration of many routers in one process with a manual
/// clock, one fake platform, and seeded delay and loss of datagrams. Models no other property of a
/// network.
class PeerGroup
{
public:
    struct Options
    {
        std::size_t size = 9;
        std::uint64_t seed = 1;
        double loss = 0;
        Duration minDelay = std::chrono::microseconds(500);
        Duration maxDelay = std::chrono::milliseconds(2);
        /// Encodes one of this many messages to determine its size. The others are counted with the
        /// size of the last encoded message of the same kind and number of updates. 1 is exact.
        int encodeEvery = 1;
        double bytesPerSecond = 3000;
    };

    struct Node
    {
        std::string address;
        std::unique_ptr<TrafficGovernor> governor;
        std::unique_ptr<ConfigManager> config;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<ConfigPropagator> propagator;
        bool up = true;
        TimePoint wake = TimePoint::max();
        std::vector<std::uint64_t> applied; ///< Revisions in the order in which they took effect.
    };

    /// Members' key and MAC on a datagram: `k1.`, 22 characters and a dot.
    static constexpr std::size_t EnvelopeBytes = 26;

    explicit PeerGroup(Options options) : m_options(options), m_random(seededRandom(options.seed))
    {
        for (std::size_t i = 0; i < options.size; ++i)
            add();
    }

    Node &node(std::size_t i) { return *m_nodes[i]; }
    std::size_t size() const { return m_nodes.size(); }
    ManualClock &clock() { return m_clock; }
    FakeTable &table() { return m_table; }
    FakeObjects &objects() { return m_objects; }
    void setLoss(double loss) { m_options.loss = loss; }

    static std::string nameOf(std::size_t i) { return fmt::format("router-{}", i); }

    /// \brief Adds a router that knows no other router.
    Node &add()
    {
        const std::size_t i = m_nodes.size();
        m_nodes.push_back(std::make_unique<Node>());
        Node &out = *m_nodes.back();
        out.address = fmt::format("10.0.{}.{}:7946", i / 250, i % 250 + 1);
        m_byAddress[out.address] = i;
        start(i);
        return out;
    }

    /// \brief Restarts router \a i with empty state.
    void start(std::size_t i)
    {
        Node &it = *m_nodes[i];
        it.up = true;
        it.governor = std::make_unique<TrafficGovernor>(TrafficGovernor::Options{
                .clock = m_clock, .bytesPerSecond = m_options.bytesPerSecond});
        it.propagator.reset();
        it.config = std::make_unique<ConfigManager>(ConfigManager::Options{
                .table = m_table,
                .objects = m_objects,
                .clock = m_clock,
                .random = seededRandom(m_options.seed * 100'000 + 50'000 + m_started),
                .after = [this](Duration d, std::function<void()> f) { later(d, std::move(f)); }});
        it.config->changed().connect([&it](const InventoryPtr &inventory) {
            it.applied.push_back(inventory->revision);
        });
        startMembership(i);
        it.propagator = std::make_unique<ConfigPropagator>(ConfigPropagator::Options{
                .clock = m_clock,
                .config = *it.config,
                .membership = *it.membership,
                .send = [this, i](const std::string &to,
                                  PeerMessage message) { send(i, to, std::move(message)); },
                .fetchLarge = [this, i](const std::string &to,
                                        const ConfigDigest &) { fetchLarge(i, to); }});
        it.config->changed().connect([this, i](const InventoryPtr &) { schedule(i); });
        schedule(i);
    }

    void stop(std::size_t i) { m_nodes[i]->up = false; }

    /// \brief Makes all routers known to each other, as in a converged fleet.
    void introduceAll()
    {
        PeerMessage all{.kind = PeerMessageKind::Sync, .from = "list"};
        for (const auto &it : m_nodes)
            all.updates.push_back(it->membership->self());
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i]->membership->receive("nowhere", all);
            schedule(i);
        }
    }

    std::vector<VmEntry> vms() const
    {
        std::vector<VmEntry> out;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            out.push_back(
                    {.name = nameOf(i), .callerAddress = {}, .peerAddress = m_nodes[i]->address});
        return out;
    }

    /// \param blocked returns whether every datagram from the first to the second router is lost.
    void block(std::function<bool(std::size_t, std::size_t)> blocked)
    {
        m_blocked = std::move(blocked);
    }

    void run(Duration length)
    {
        runUntil([] { return false; }, length);
    }

    /// \returns whether \a condition became true within \a limit; it is checked after each event.
    bool runUntil(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint end = m_clock.now() + limit;
        while (!condition()) {
            const TimePoint event = m_events.empty() ? TimePoint::max() : m_events.begin()->first;
            const TimePoint wake = m_wakes.empty() ? TimePoint::max() : m_wakes.begin()->first;
            const TimePoint next = std::min(event, wake);
            if (next > end) {
                m_clock.advance(end - m_clock.now());
                return false;
            }
            m_clock.advance(std::max(Duration::zero(), next - m_clock.now()));
            if (event <= wake)
                runEvent();
            else
                wakeNode(m_wakes.begin()->second);
        }
        return true;
    }

    std::size_t upCount() const
    {
        std::size_t n = 0;
        for (const auto &it : m_nodes)
            n += it->up ? 1 : 0;
        return n;
    }

    /// \returns whether every router that is up has \a state as the state of \a name.
    bool allHaveState(const std::string &name, std::optional<MemberState> state) const
    {
        for (const auto &it : m_nodes) {
            if (!it->up || it->membership->self().name == name)
                continue;
            const auto found = it->membership->members().find(name);
            const bool known = found != it->membership->members().end();
            if (known != state.has_value() || (known && found->second.state != *state))
                return false;
        }
        return true;
    }

    bool allHold(std::uint64_t revision) const
    {
        for (const auto &it : m_nodes) {
            if (it->up && it->config->digest().revision < revision)
                return false;
        }
        return true;
    }

    void later(Duration delay, std::function<void()> it)
    {
        m_events.emplace(m_clock.now() + delay, std::move(it));
    }

    /// \brief Reschedules the next poll of router \a i after outside calls to it.
    void schedule(std::size_t i)
    {
        Node &it = *m_nodes[i];
        if (!it.membership || !it.propagator)
            return;
        m_wakes.erase({it.wake, i});
        it.wake = std::min(it.membership->nextDeadline(), it.propagator->nextDeadline());
        m_wakes.insert({it.wake, i});
    }

private:
    void startMembership(std::size_t i)
    {
        Node &it = *m_nodes[i];
        ++m_started;
        it.membership = std::make_unique<Membership>(Membership::Options{
                .clock = m_clock,
                .random = seededRandom(m_options.seed * 100'000 + m_started),
                .self = {.name = nameOf(i),
                         .callerAddress = it.address.substr(0, it.address.size() - 4) + "8080",
                         .peerAddress = it.address,
                         .failureDomain = fmt::format("domain-{}", i % 25),
                         .incarnation = 1'790'000'000'000 + m_started},
                .send = [this, i](const std::string &to,
                                  PeerMessage message) { send(i, to, std::move(message)); },
                .digest = [&it] { return it.config->digest(); },
                .mayDefer = [&it] { return it.governor->allowsDeferrable(); }});
    }

    void runEvent()
    {
        const auto callback = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        callback();
    }

    void wakeNode(std::size_t i)
    {
        Node &it = *m_nodes[i];
        if (!it.up) {
            m_wakes.erase({it.wake, i});
            return;
        }
        it.membership->poll();
        it.propagator->poll();
        schedule(i);
    }

    std::size_t sizeOf(PeerMessage message)
    {
        const auto kind = static_cast<std::size_t>(message.kind);
        const auto shape = std::make_pair(kind, message.updates.size());
        Shape &known = m_shapes[shape];
        if (known.seen++ % static_cast<std::uint64_t>(m_options.encodeEvery) == 0) {
            message.sequence = 100'000;
            message.sentAt = 1'790'000'000;
            known.size = PeerCodec::encode(message).size() + EnvelopeBytes;
        }
        return known.size;
    }

    void send(std::size_t from, const std::string &to, PeerMessage message)
    {
        m_nodes[from]->governor->countDatagram(sizeOf(message));
        const auto target = m_byAddress.find(to);
        if (target == m_byAddress.end() || uniform(m_random) < m_options.loss
            || (m_blocked && m_blocked(from, target->second)))
            return;
        const Duration delay = m_options.minDelay
                + scaled(m_options.maxDelay - m_options.minDelay, uniform(m_random));
        later(delay, [this, from, i = target->second, message = std::move(message)] {
            Node &it = *m_nodes[i];
            if (!it.up)
                return;
            it.membership->receive(m_nodes[from]->address, message);
            it.propagator->receive(m_nodes[from]->address, message);
            schedule(i);
        });
    }

    void fetchLarge(std::size_t from, const std::string &to)
    {
        const std::size_t i = m_byAddress.at(to);
        if (!m_nodes[i]->up || (m_blocked && m_blocked(from, i)))
            return;
        const PeerMessage answer =
                m_nodes[i]->propagator->deltaSince(m_nodes[from]->config->digest());
        m_nodes[i]->governor->countConnection(sizeOf(answer));
        later(2 * m_options.maxDelay, [this, from, answer] {
            if (m_nodes[from]->up)
                m_nodes[from]->propagator->applyDelta(answer);
            schedule(from);
        });
    }

    struct Shape
    {
        std::uint64_t seen = 0;
        std::size_t size = 0;
    };

    Options m_options;
    ManualClock m_clock;
    RandomSource m_random;
    FakeTable m_table{[this](std::function<void()> f) { later(StoreDelay, std::move(f)); }};
    FakeObjects m_objects{[this](std::function<void()> f) { later(StoreDelay, std::move(f)); }};
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::string, std::size_t, std::less<>> m_byAddress;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::set<std::pair<TimePoint, std::size_t>> m_wakes;
    std::map<std::pair<std::size_t, std::size_t>, Shape> m_shapes;
    std::function<bool(std::size_t, std::size_t)> m_blocked;
    std::uint64_t m_started = 0;

    static constexpr Duration StoreDelay = std::chrono::milliseconds(5);
};

/// \returns an inventory of \a engines engines; \a note differs from one revision to the next.
inline std::string inventoryText(int engines, std::uint64_t note)
{
    std::string out = "places:\n  - {name: domain-0, region: sofia}\nengines:\n";
    for (int i = 0; i < engines; ++i) {
        const bool changed = static_cast<std::uint64_t>(i) == note % static_cast<unsigned>(engines);
        out += fmt::format("  - {{name: engine-{}, model: planning, address: \"10.1.{}.{}:9100\", "
                           "failure_domain: domain-0, slots: {}}}\n",
                           i, i / 250, i % 250 + 1, changed ? 33 + note % 7 : 32);
    }
    return out + "workspaces: []\noperators: []\n";
}

} // namespace catkinloft::fakes
