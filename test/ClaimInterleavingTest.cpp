#include "FakeObjectStore.h"
#include "FakeTable.h"
#include "SequenceExploration.h"

#include "Base/ManualClock.h"
#include "Request/ClaimManager.h"

#include <doctest/doctest.h>

#include <array>

using namespace catkinloft;
using namespace std::chrono_literals;
using Fate = FakeTable::Fate;

namespace {

/// The protocol that the routers follow. All but Correct contain a deliberate fault.
enum class Protocol {
    Correct,
    TakeOver, ///< A claim whose deadline has passed is removed and claimed again.
    SendUnclaimed, ///< A call is sent although the store did not record its claim.
};

/// Two routers, up to three attempts of one caller at the same call, and a store with all kinds of
/// faults.
class Simulation
{
public:
    Simulation(Protocol protocol, bool storeChecksVersions) : m_protocol(protocol)
    {
        m_table.checksVersions = storeChecksVersions;
        for (std::size_t i = 0; i < m_routers.size(); ++i)
            m_routers[i] = makeManager(i);
        startAttempt(0);
    }

    using Event = std::function<void()>;

    std::vector<Event> enabled()
    {
        std::vector<Event> out;
        addTableEvents(out);
        for (std::size_t i = 0; i < m_attempts.size(); ++i)
            addAttemptEvents(i, out);
        if (m_attempts.size() < 3)
            out.emplace_back([this] { startAttempt(m_attempts.size() % 2); });
        if (m_ticks < 2)
            out.emplace_back([this] { tick(); });
        if (m_faults > 0 && m_routers[0])
            out.emplace_back([this] { crash(); });
        return out;
    }

    std::string violation() const
    {
        int runs = 0;
        for (const Attempt &it : m_attempts) {
            runs += it.executed ? 1 : 0;
            if (it.executed && it.reported == Verdict::NotRun)
                return "a caller got not_run for an attempt that ran";
            if (it.replayed && *it.replayed != m_firstAnswer)
                return "a retry got another answer than the first attempt";
        }
        return runs > 1 ? "the call ran twice" : "";
    }

    /// Completes everything in flight without faults and makes one more attempt.
    std::string finishAll()
    {
        for (int i = 0; i < 4; ++i) {
            while (!m_table.late.empty())
                m_table.applyLate(0);
            m_table.endAll();
            for (std::size_t n = 0; n < m_attempts.size(); ++n)
                finishAttempt(n);
            tick();
        }
        m_table.endAll();
        startAttempt(1);
        m_table.endAll();
        const Attempt &last = m_attempts.back();
        const bool explained = m_crashed || m_answerLost;
        if (last.reported && *last.reported != Verdict::NotRun && !explained)
            return "a call without a fault that makes its outcome unknown can't be retried";
        return violation();
    }

private:
    struct Attempt
    {
        std::size_t router = 0;
        ClaimPtr claim = {};
        bool sent = false;
        bool executed = false;
        std::optional<Verdict> reported = {};
        std::optional<std::string> replayed = {};
    };

    std::unique_ptr<ClaimManager> makeManager(std::size_t i)
    {
        return std::make_unique<ClaimManager>(ClaimManager::Options{.table = m_table,
                                                                    .objects = m_objects,
                                                                    .clock = m_clock,
                                                                    .metrics = m_metrics,
                                                                    .random = seededRandom(i + 1),
                                                                    .router = i == 0 ? "a" : "b",
                                                                    .window = Duration::zero()});
    }

    void startAttempt(std::size_t router)
    {
        m_attempts.push_back({.router = router});
        if (m_routers[router])
            claim(m_attempts.size() - 1);
    }

    void claim(std::size_t i)
    {
        m_routers[m_attempts[i].router]->claim(
                {.workspace = "w", .key = "k", .fingerprint = "f", .deadline = m_clock.now() + 15s},
                [this, i](const Result<ClaimManager::Grant> &result) {
                    handleClaimResult(i, result);
                });
    }

    void handleClaimResult(std::size_t i, const Result<ClaimManager::Grant> &result)
    {
        Attempt &it = m_attempts[i];
        if (result && result.value().claim) {
            it.claim = result.value().claim;
        } else if (result) {
            it.replayed = result.value().answer.body;
        } else if (m_protocol == Protocol::TakeOver
                   && result.error().reason == Reason::OutcomeUnknown && !it.sent) {
            m_table.rows.clear();
            claim(i);
        } else if (m_protocol == Protocol::SendUnclaimed
                   && result.error().reason == Reason::ClaimStoreUnavailable) {
            it.executed = true;
        } else {
            it.reported = result.error().verdict;
        }
    }

    void addTableEvents(std::vector<Event> &out)
    {
        for (std::size_t i = 0; i < m_table.pending.size(); ++i) {
            out.emplace_back([this, i] { m_table.end(i, Fate::Answered); });
            if (m_faults == 0)
                continue;
            for (const Fate fate : {Fate::AnswerLost, Fate::Late, Fate::Refused}) {
                out.emplace_back([this, i, fate] {
                    --m_faults;
                    m_table.end(i, fate);
                });
            }
        }
        for (std::size_t i = 0; i < m_table.late.size(); ++i)
            out.emplace_back([this, i] { m_table.applyLate(i); });
    }

    void addAttemptEvents(std::size_t i, std::vector<Event> &out)
    {
        const Attempt &it = m_attempts[i];
        if (!it.claim || it.reported)
            return;
        if (!it.sent) {
            out.emplace_back([this, i] { send(i); });
            return;
        }
        out.emplace_back([this, i] { answer(i); });
        if (m_faults == 0)
            return;
        out.emplace_back([this, i] { loseAnswer(i); });
        out.emplace_back([this, i] { decline(i); });
    }

    void send(std::size_t i)
    {
        Attempt &it = m_attempts[i];
        ClaimManager &manager = *m_routers[it.router];
        if (!manager.maySend(*it.claim)) {
            it.reported = Verdict::NotRun;
            manager.release(it.claim);
            return;
        }
        it.sent = true;
        it.executed = true;
    }

    void answer(std::size_t i)
    {
        Attempt &it = m_attempts[i];
        m_firstAnswer = "answer of attempt " + std::to_string(i);
        it.reported = Verdict::Ran;
        m_routers[it.router]->recordAnswer(it.claim, {200, "text/plain", m_firstAnswer});
    }

    void loseAnswer(std::size_t i)
    {
        --m_faults;
        m_answerLost = true;
        m_attempts[i].reported = Verdict::MayHaveRun;
        m_routers[m_attempts[i].router]->recordUnknown(m_attempts[i].claim);
    }

    void decline(std::size_t i)
    {
        --m_faults;
        m_attempts[i].executed = false;
        m_attempts[i].reported = Verdict::NotRun;
        m_routers[m_attempts[i].router]->release(m_attempts[i].claim);
    }

    void finishAttempt(std::size_t i)
    {
        const Attempt &it = m_attempts[i];
        if (it.claim && !it.reported && !it.sent)
            send(i);
        if (it.claim && !it.reported)
            answer(i);
    }

    /// Advances the time. Two calls exceed the deadline of the first attempt.
    void tick()
    {
        ++m_ticks;
        m_clock.advance(8s);
        for (const auto &it : m_routers) {
            if (it)
                it->poll();
        }
    }

    void crash()
    {
        --m_faults;
        m_crashed = true;
        m_routers[0].reset();
        for (Attempt &it : m_attempts) {
            if (it.router == 0 && !it.reported)
                it.reported = Verdict::MayHaveRun;
        }
    }

    Protocol m_protocol;
    ManualClock m_clock;
    Metrics m_metrics;
    FakeTable m_table;
    FakeObjectStore m_objects;
    std::array<std::unique_ptr<ClaimManager>, 2> m_routers;
    std::vector<Attempt> m_attempts;
    std::string m_firstAnswer;
    int m_faults = 2;
    int m_ticks = 0;
    bool m_crashed = false;
    bool m_answerLost = false;
};

using Exploration = SequenceExploration<Simulation>;

Exploration explore(Protocol protocol, bool storeChecksVersions, std::size_t depth)
{
    return {.start = [=] { return std::make_unique<Simulation>(protocol, storeChecksVersions); },
            .depth = depth};
}

} // namespace

// Guards against calls that run twice and wrong verdicts under any combination of two faults: lost,
// late or refused store operations, lost answers, declined calls and a crashed router.
TEST_CASE("claimManager_everySequenceOfFaults_runsAtMostOnceWithCorrectVerdict")
{
    Exploration all = explore(Protocol::Correct, true, 6);
    all.run();
    MESSAGE("claims: ", all.states, " states, ", all.sequences, " sequences to depth ", all.depth);
    CHECK(all.violation == "");
    CHECK(all.states > 10'000);
}

TEST_CASE("claimManager_longSequencesOfFaults_runsAtMostOnceWithCorrectVerdict")
{
    Exploration longer = explore(Protocol::Correct, true, 24);
    longer.sample(20'000, 1);
    CHECK(longer.violation == "");
}

TEST_CASE("claimManager_faultyProtocol_isDetectedByTheSameCheck")
{
    Exploration takeOver = explore(Protocol::TakeOver, true, 6);
    takeOver.run();
    CHECK(takeOver.violation == "the call ran twice");
    Exploration unclaimed = explore(Protocol::SendUnclaimed, true, 6);
    unclaimed.run();
    CHECK(unclaimed.violation != "");
    Exploration noCompareAndSet = explore(Protocol::Correct, false, 6);
    noCompareAndSet.run();
    CHECK(noCompareAndSet.violation != "");
}
