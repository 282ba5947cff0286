#include "SequenceExploration.h"

#include "Base/Log.h"
#include "Base/ManualClock.h"
#include "Control/EvacuatedDomains.h"
#include "Control/ReplicaRegistry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// How routers order what they read. All but ByPosition contain a deliberate fault.
enum class Order {
    ByPosition,
    ByVersion, ///< The era is ignored.
    ByArrival, ///< Every list counts as newer than the one before.
};

const std::string Replica = "a";
const std::string Domain = "z";

/// A store that is restored from copies, one replica that leaves, an operator who evacuates a
/// failure domain, a router that reads the store and another one that receives its state.
///
/// Answers and updates may be delayed, lost and overtaken. The replica and the operator write again
/// what a restore undid, before the retention of the routers ends.
class Simulation
{
public:
    explicit Simulation(Order order) : m_order(order)
    {
        startRead();
        deliverRead(0);
        startUpdate();
        deliverUpdate(0);
    }

    using Event = std::function<void()>;

    std::vector<Event> enabled()
    {
        std::vector<Event> out;
        addWrites(out);
        if (m_copiesLeft > 0)
            out.emplace_back([this] { takeCopy(); });
        if (m_copy && m_restoresLeft > 0)
            out.emplace_back([this] { restore(); });
        if (m_readsLeft > 0)
            out.emplace_back([this] { startRead(); });
        for (std::size_t i = 0; i < m_reads.size(); ++i) {
            out.emplace_back([this, i] { deliverRead(i); });
            out.emplace_back([this, i] { take(m_reads, i); });
        }
        if (m_updatesLeft > 0)
            out.emplace_back([this] { startUpdate(); });
        for (std::size_t i = 0; i < m_updates.size(); ++i)
            out.emplace_back([this, i] { deliverUpdate(i); });
        return out;
    }

    std::string violation() const
    {
        for (const Router *it : {&m_reader, &m_peer}) {
            if (it->knewLeaving && !isLeaving(*it))
                return "a leaving replica gets requests again";
            if (it->knewEvacuated && !it->evacuated.domains().contains(Domain))
                return "an evacuated domain gets requests again";
        }
        return "";
    }

    /// Everything is written again and read once, without faults.
    std::string finishAll()
    {
        if (std::string out = violation(); !out.empty())
            return out;
        m_store.isDraining = m_store.isDraining || m_hasDrained;
        m_store.isEvacuated = m_store.isEvacuated || m_hasEvacuated;
        ++m_store.position.version;
        startRead();
        deliverRead(m_reads.size() - 1);
        startUpdate();
        deliverUpdate(m_updates.size() - 1);
        for (const Router *it : {&m_reader, &m_peer}) {
            if (it->replicas.position() != orderOf(m_store.position))
                return "a router is left with an old list";
            if (m_hasDrained && !isLeaving(*it))
                return "a leaving replica is not known";
            if (m_hasEvacuated && !it->evacuated.domains().contains(Domain))
                return "an evacuated domain is not known";
        }
        return violation();
    }

private:
    struct Store
    {
        StorePosition position = {.era = 1, .version = 10};
        bool isDraining = false;
        bool isEvacuated = false;
        std::int64_t sequence = 1; ///< Of the entry of the replica.
    };

    struct Router
    {
        explicit Router(const Clock &clock)
            : replicas({.clock = clock}), evacuated({.clock = clock})
        { }

        ReplicaRegistry replicas;
        EvacuatedDomains evacuated;
        bool knewLeaving = false;
        bool knewEvacuated = false;
    };

    struct Update
    {
        ReplicaUpdate replicas;
        StorePosition position;
        std::uint64_t hash = 0;
        EvacuatedDomains::State evacuated;
    };

    /// \returns element \a i, which is removed from \a list.
    template<typename T>
    static T take(std::vector<T> &list, std::size_t i)
    {
        T out = std::move(list[i]);
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(i));
        return out;
    }

    static bool isLeaving(const Router &router)
    {
        const auto &list = router.replicas.replicas();
        return std::all_of(list.begin(), list.end(),
                           [](const ReplicaRecord &it) { return it.draining; });
    }

    /// \returns the position by which a router with the simulated order sorts what it receives.
    StorePosition orderOf(StorePosition position) const
    {
        if (m_order != Order::ByPosition)
            position.era = 1;
        return position;
    }

    void addWrites(std::vector<Event> &out)
    {
        const bool lostDraining = m_hasDrained && !m_store.isDraining;
        const bool lostEvacuation = m_hasEvacuated && !m_store.isEvacuated;
        if (!m_hasDrained || lostDraining)
            out.emplace_back([this] {
                m_hasDrained = m_store.isDraining = true;
                writeEntry();
            });
        if (!m_hasEvacuated || lostEvacuation)
            out.emplace_back([this] {
                m_hasEvacuated = m_store.isEvacuated = true;
                ++m_store.position.version;
            });
        if (m_heartbeatsLeft > 0)
            out.emplace_back([this] {
                --m_heartbeatsLeft;
                writeEntry();
            });
    }

    void writeEntry()
    {
        m_store.sequence = ++m_sequence;
        ++m_store.position.version;
    }

    void takeCopy()
    {
        --m_copiesLeft;
        m_copy = m_store;
    }

    void restore()
    {
        --m_restoresLeft;
        const std::uint64_t era = m_store.position.era + 1;
        m_store = *m_copy;
        m_store.position.era = era;
    }

    void startRead()
    {
        --m_readsLeft;
        m_reads.push_back(m_store);
    }

    void deliverRead(std::size_t i)
    {
        const Store read = take(m_reads, i);
        if (read.position.era < m_answeredEra && m_order == Order::ByPosition)
            return; // StoreClient reports an answer from before a restore as an error.
        m_answeredEra = read.position.era;
        const StorePosition position = m_order == Order::ByArrival
                ? StorePosition{.era = 1, .version = ++m_arrivals}
                : orderOf(read.position);
        m_reader.replicas.apply({.position = position,
                                 .replicas = {{.id = Replica,
                                               .service = "s",
                                               .address = "10.0.0.1:80",
                                               .draining = read.isDraining,
                                               .sequence = read.sequence}}},
                                m_clock.now());
        EvacuatedDomains::State state{.position = position};
        if (read.isEvacuated)
            state.domains.insert(Domain);
        m_reader.evacuated.accept(state);
        noteKnown(m_reader);
    }

    void startUpdate()
    {
        --m_updatesLeft;
        m_updates.push_back({.replicas = m_reader.replicas.updateSince(m_peer.replicas.hash()),
                             .position = m_reader.replicas.position(),
                             .hash = m_reader.replicas.hash(),
                             .evacuated = m_reader.evacuated.state()});
    }

    void deliverUpdate(std::size_t i)
    {
        const Update update = take(m_updates, i);
        if (update.hash == m_peer.replicas.hash())
            m_peer.replicas.confirm(update.hash, update.position, m_clock.now());
        else
            m_peer.replicas.applyUpdate(update.replicas, m_clock.now());
        m_peer.evacuated.accept(update.evacuated);
        noteKnown(m_peer);
    }

    static void noteKnown(Router &router)
    {
        router.knewLeaving = router.knewLeaving || isLeaving(router);
        router.knewEvacuated = router.knewEvacuated || router.evacuated.domains().contains(Domain);
    }

    Order m_order;
    ManualClock m_clock;
    Store m_store;
    std::optional<Store> m_copy;
    Router m_reader{m_clock};
    Router m_peer{m_clock};
    std::vector<Store> m_reads;
    std::vector<Update> m_updates;
    bool m_hasDrained = false;
    bool m_hasEvacuated = false;
    std::int64_t m_sequence = 1;
    std::uint64_t m_answeredEra = 0;
    std::uint64_t m_arrivals = 0;
    int m_heartbeatsLeft = 2;
    int m_copiesLeft = 2;
    int m_restoresLeft = 2;
    int m_readsLeft = 6;
    int m_updatesLeft = 5;
};

using Exploration = SequenceExploration<Simulation>;

Exploration explore(Order order, std::size_t depth)
{
    return {.start = [order] { return std::make_unique<Simulation>(order); }, .depth = depth};
}

struct QuietLogFixture
{
    QuietLogFixture() { Log::setLevel(LogLevel::Error); }
    ~QuietLogFixture() { Log::setLevel(LogLevel::Info); }
    QuietLogFixture(const QuietLogFixture &) = delete;
    QuietLogFixture &operator=(const QuietLogFixture &) = delete;
};

} // namespace

// Guards against routers that stay with an old list or use a leaving replica or an evacuated domain
// again, under any sequence of writes, copies, restores and late or lost answers.
TEST_CASE_FIXTURE(QuietLogFixture, "storeRestore_everySequence_nothingKnownIsRevertedOrMissed")
{
    Exploration all = explore(Order::ByPosition, 6);
    all.run();
    MESSAGE("restores: ", all.states, " states, ", all.sequences, " sequences to depth ",
            all.depth);
    CHECK(all.violation == "");
    CHECK(all.states > 10'000);
}

TEST_CASE_FIXTURE(QuietLogFixture, "storeRestore_longSequences_nothingKnownIsRevertedOrMissed")
{
    Exploration longer = explore(Order::ByPosition, 20);
    longer.sample(20'000, 1);
    CHECK(longer.violation == "");
}

TEST_CASE_FIXTURE(QuietLogFixture, "storeRestore_faultyOrder_isDetectedByTheSameCheck")
{
    Exploration byVersion = explore(Order::ByVersion, 6);
    byVersion.run();
    CHECK(byVersion.violation == "a router is left with an old list");
    Exploration byArrival = explore(Order::ByArrival, 6);
    byArrival.run();
    CHECK(byArrival.violation != "");
}
