#include "Net/CrashWatch.h"
#include "Base/Metrics.h"
#include "ClosingProxy.h"
#include "Net/EventLoop.h"
#include "Net/Timer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct CrashWatchFixture
{
    /// The connection of request \a id to the replica breaks now.
    void breakAttempt(const std::string &id,
                      CrashWatch::AliveCriterion criterion = CrashWatch::AliveCriterion::StaysOpen,
                      TimePoint provenAt = TimePoint::min())
    {
        brokeAt = loop.now();
        watch.checkReplica({.requestId = id,
                            .replica = "i-1",
                            .address = proxy.address(),
                            .sentAt = brokeAt - 10ms,
                            .provenAt = provenAt},
                           criterion, [this](CrashWatch::State it) {
                               states.push_back(it);
                               decisions.push_back(it == CrashWatch::State::Crashed);
                           });
    }

    void runUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 4000 && !condition(); ++i)
            runFor(1ms);
        CHECK(condition());
    }

    void runFor(Duration time)
    {
        Timer timer(loop, [this] { loop.stop(); });
        timer.start(time);
        loop.run();
    }

    EventLoop loop;
    Metrics metrics;
    ClosingProxy proxy{loop};
    std::vector<bool> decisions;
    std::vector<CrashWatch::State> states;
    std::optional<bool> isSameReplica = true; ///< What the process at the address answers.
    int identified = 0; ///< How often it was asked.
    std::vector<std::string> crashedRequests;
    std::vector<TimePoint> crashTimes;
    std::vector<std::string> crashedReplicas;
    std::vector<std::string> lostRequests;
    CrashWatch::Finding finding = CrashWatch::Finding::Crashed;
    bool isUnreached = false; ///< No router can tell whether the replica has crashed.
    TimePoint brokeAt; ///< When the last attempt broke, or somewhat earlier.
    /// How long before that the replica broke an attempt of another router.
    std::optional<Duration> brokeEarlierElsewhere;
    CrashWatch watch{
            {.loop = loop,
             .metrics = metrics,
             .confirm =
                     [this](const std::string &,
                            const std::function<void(CrashWatch::Finding)> &done,
                            const std::function<void()> &unreached) {
                         if (brokeEarlierElsewhere)
                             watch.brokenElsewhere("i-1", brokeAt - *brokeEarlierElsewhere);
                         done(finding);
                         if (isUnreached)
                             unreached();
                     },
             .identify =
                     [this](const CrashWatch::BrokenAttempt &,
                            const std::function<void(std::optional<bool>)> &done) {
                         ++identified;
                         done(isSameReplica);
                     },
             .attemptCrashed =
                     [this](const CrashWatch::BrokenAttempt &it, TimePoint at) {
                         crashedRequests.push_back(it.requestId);
                         crashTimes.push_back(at);
                     },
             .attemptLost = [this](const CrashWatch::BrokenAttempt &it,
                                   TimePoint) { lostRequests.push_back(it.requestId); },
             .replicaCrashed = [this](const std::string &it) { crashedReplicas.push_back(it); }}};
};

} // namespace

// Guards against overlooking a crash behind a proxy whose path to the replica is slow: the proxy
// closes the connection only after a round trip. The request then crashes further replicas.
TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_proxyClosesAfterRoundTrip_crashIsReported")
{
    proxy.closeAfter(130ms);
    breakAttempt("r1");
    breakAttempt("r2", CrashWatch::AliveCriterion::Accepts);
    const TimePoint after = loop.now();
    runUntil([this] { return crashedRequests.size() == 2; });
    CHECK(decisions.size() == 2);
    CHECK(crashedRequests == std::vector<std::string>{"r1", "r2"});
    CHECK(crashedReplicas == std::vector<std::string>{"i-1"});
    // The crash is as old as the broken connection, not as its detection.
    for (const TimePoint it : crashTimes)
        CHECK(it <= after);
}

TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_nothingListens_crashIsDecided")
{
    proxy.stopListening();
    breakAttempt("r1");
    runUntil([this] { return !decisions.empty(); });
    CHECK(decisions == std::vector<bool>{true});
    CHECK(crashedRequests == std::vector<std::string>{"r1"});
}

// Guards against blaming a request for a replica that only dropped its answer.
TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_connectionStaysOpen_replicaIsAlive")
{
    breakAttempt("r1");
    runFor(1s);
    CHECK(decisions == std::vector<bool>{false});
    proxy.closeConnections();
    runFor(50ms);
    CHECK(crashedRequests.empty());
    CHECK(crashedReplicas.empty());
}

// Guards against leaving out an attempt that was sent after an earlier one broke and that crashed
// the replica: it must not be taken for one that was sent to a replica that had crashed already.
TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_replicaCrashesUnderLaterAttempt_bothAreChecked")
{
    breakAttempt("r1");
    runUntil([this] { return !decisions.empty(); });
    proxy.stopListening();
    proxy.closeConnections();
    breakAttempt("r2");
    runUntil([this] { return decisions.size() == 2; });
    CHECK(proxy.connections() == 1);
    CHECK(decisions == std::vector<bool>{false, true});
    CHECK(std::count(crashedRequests.begin(), crashedRequests.end(), "r2") == 1);
    CHECK(crashedReplicas == std::vector<std::string>{"i-1"});
}

// Guards against blaming a request that was sent to a replica after it had crashed. If most
// replicas of a service crash together, it looks like a lost path at first.
TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_crashIsConfirmedLate_laterAttemptIsNotBlamed")
{
    proxy.stopListening();
    finding = CrashWatch::Finding::PathLost;
    breakAttempt("r1");
    runUntil([this] { return !decisions.empty(); });
    const TimePoint firstSeen = loop.now();
    CHECK(crashedRequests.empty());
    runFor(600ms);
    finding = CrashWatch::Finding::Crashed;
    breakAttempt("r2");
    runUntil([this] { return decisions.size() == 2; });
    CHECK(crashedReplicas == std::vector<std::string>{"i-1"});
    CHECK(crashedRequests.empty());
    // A request that was already in progress at the crash is still suspected.
    watch.checkReplica({.requestId = "r0",
                        .replica = "i-1",
                        .address = proxy.address(),
                        .sentAt = firstSeen - 300ms},
                       CrashWatch::AliveCriterion::StaysOpen, [this](CrashWatch::State it) {
                           decisions.push_back(it == CrashWatch::State::Crashed);
                       });
    runUntil([this] { return decisions.size() == 3; });
    REQUIRE(crashedRequests == std::vector<std::string>{"r0"});
    CHECK(crashTimes.front() <= firstSeen);
}

// Guards against the same behind a proxy, which accepts connections while the replica is down.
TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_proxyAcceptsAndCloses_laterAttemptIsNotBlamed")
{
    proxy.closeAfter(30ms);
    finding = CrashWatch::Finding::PathLost;
    breakAttempt("r1");
    runUntil([this] { return !decisions.empty(); });
    runFor(600ms);
    finding = CrashWatch::Finding::Crashed;
    breakAttempt("r2");
    runUntil([this] { return !crashedReplicas.empty(); });
    CHECK(crashedRequests.empty());
}

// Guards against dating a crash back to a lost path that worked again in between.
TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_pathWorkedBeforeCrash_attemptIsBlamed")
{
    proxy.closeAfter(0ms);
    finding = CrashWatch::Finding::PathLost;
    breakAttempt("r1");
    runUntil([this] { return !decisions.empty(); });
    proxy.closeAfter(Duration::max());
    breakAttempt("r2");
    runUntil([this] { return decisions.size() == 2; });
    runFor(200ms);
    proxy.stopListening();
    finding = CrashWatch::Finding::Crashed;
    breakAttempt("r3");
    runUntil([this] { return decisions.size() == 3; });
    CHECK(crashedRequests == std::vector<std::string>{"r3"});
}

// Guards against a request that crashes all replicas at a time and is never suspected, because no
// router can tell that from the loss of its own paths.
TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_nobodyCanConfirm_requestInProgressIsReported")
{
    proxy.stopListening();
    finding = CrashWatch::Finding::PathLost;
    isUnreached = true;
    breakAttempt("r1", CrashWatch::AliveCriterion::StaysOpen, loop.now() - 20ms);
    breakAttempt("r2", CrashWatch::AliveCriterion::StaysOpen, loop.now() - 10s);
    runUntil([this] { return decisions.size() == 2; });
    CHECK(lostRequests == std::vector<std::string>{"r1"});
    CHECK(crashedRequests.empty());
    // It was sent to the replica that refused connections already.
    runFor(100ms);
    breakAttempt("r3", CrashWatch::AliveCriterion::StaysOpen, loop.now() - 110ms);
    runUntil([this] { return decisions.size() == 3; });
    CHECK(lostRequests.size() == 1);
    // The replica has run in between.
    runFor(400ms);
    breakAttempt("r4", CrashWatch::AliveCriterion::StaysOpen, loop.now() - 20ms);
    runUntil([this] { return decisions.size() == 4; });
    CHECK(lostRequests == std::vector<std::string>{"r1", "r4"});
}

// Guards against suspecting what a router loses with its own paths while others reach the replica.
TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_anotherRouterReachesReplica_nothingIsReported")
{
    proxy.stopListening();
    finding = CrashWatch::Finding::PathLost;
    breakAttempt("r1", CrashWatch::AliveCriterion::StaysOpen, loop.now() - 20ms);
    runUntil([this] { return decisions.size() == 1; });
    CHECK(lostRequests.empty());
    CHECK(crashedRequests.empty());
}

// Guards against a request that goes on crashing replicas because only routers that sent harmless
// ones to the crashed replica have confirmed the crash.
TEST_CASE_FIXTURE(CrashWatchFixture,
                  "crashWatch_anotherRouterTellsTheCrash_brokenAttemptIsReported")
{
    const TimePoint crashedAt = loop.now();
    SUBCASE("after the attempt broke")
    {
        breakAttempt("r1");
        runUntil([this] { return !decisions.empty(); });
        watch.crashTold("i-1", crashedAt);
    }
    SUBCASE("before the attempt broke")
    {
        watch.crashTold("i-1", crashedAt);
        breakAttempt("r1");
        runUntil([this] { return !decisions.empty(); });
    }
    watch.crashTold("i-1", crashedAt);
    CHECK(decisions == std::vector<bool>{false});
    CHECK(crashedRequests == std::vector<std::string>{"r1"});
    CHECK((crashTimes == std::vector<TimePoint>{crashedAt}));
    // This router has not found the crash itself.
    CHECK(crashedReplicas.empty());
}

// Guards against blaming a request whose connection broke at another time, or that was sent to the
// replica after its crash.
TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_toldCrashIsAnotherOne_attemptIsNotReported")
{
    SUBCASE("earlier")
    {
        breakAttempt("r1");
        watch.crashTold("i-1", loop.now() - 400ms);
    }
    SUBCASE("later")
    {
        breakAttempt("r1");
        runFor(400ms);
        watch.crashTold("i-1", loop.now());
    }
    SUBCASE("shortly before the request was sent")
    {
        watch.crashTold("i-1", loop.now() - 50ms);
        breakAttempt("r1");
    }
    SUBCASE("shortly before the request was sent, and told again with a delay")
    {
        watch.crashTold("i-1", loop.now() - 50ms);
        watch.crashTold("i-1", loop.now());
        breakAttempt("r1");
    }
    SUBCASE("of another replica")
    {
        breakAttempt("r1");
        watch.crashTold("i-2", loop.now());
    }
    runFor(300ms);
    CHECK(crashedRequests.empty());
}

// Guards against blaming requests that were sent to a replica after its crash, which a proxy in
// front of it accepts: contents that are always in progress somewhere would share each crash.
TEST_CASE_FIXTURE(CrashWatchFixture,
                  "crashWatch_anotherRoutersAttemptBrokeEarlier_laterAttemptIsNotBlamed")
{
    proxy.stopListening();
    std::vector<std::string> blamed;
    SUBCASE("told by an asked router: the request was sent after it")
    {
        brokeEarlierElsewhere = 20ms;
    }
    SUBCASE("told by an asked router: the request was in progress")
    {
        brokeEarlierElsewhere = 5ms;
        blamed = {"r1"};
    }
    SUBCASE("told by an asked router: another crash")
    {
        brokeEarlierElsewhere = 300ms;
        blamed = {"r1"};
    }
    SUBCASE("told by a heartbeat while the crash is checked")
    {
        breakAttempt("r0");
        watch.crashTold("i-1", brokeAt - 20ms);
    }
    breakAttempt("r1");
    const TimePoint checkedBy = loop.now();
    runUntil([this] { return !crashedReplicas.empty(); });
    CHECK(crashedRequests == blamed);
    const TimePoint now = loop.now();
    const std::optional<Duration> brokenFor = watch.brokenFor("i-1");
    REQUIRE(brokenFor);
    CHECK(now - *brokenFor <= checkedBy);
    runFor(1200ms);
    CHECK_FALSE(watch.brokenFor("i-1"));
}

// Guards against an answer without a length that looks whole after its replica has crashed, as the
// next replica at its address, or a socket that nobody reads, accepts connections.
TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_anotherReplicaAccepts_isNoProofOfTheFirst")
{
    using State = CrashWatch::State;
    State expected = State::Alive;
    SUBCASE("the same replica") { }
    SUBCASE("another replica")
    {
        isSameReplica = false;
        expected = State::Crashed;
    }
    SUBCASE("nobody answers")
    {
        isSameReplica.reset();
        expected = State::Unknown;
    }
    breakAttempt("r1", CrashWatch::AliveCriterion::Proven);
    runUntil([&] { return states.size() == 1; });
    REQUIRE(states.size() == 1);
    CHECK((states[0] == expected));
    CHECK(identified == 1);
}

TEST_CASE_FIXTURE(CrashWatchFixture, "crashWatch_noProofIsNeeded_replicaIsNotIdentified")
{
    isSameReplica = false;
    breakAttempt("r1", CrashWatch::AliveCriterion::Accepts);
    breakAttempt("r2", CrashWatch::AliveCriterion::StaysOpen);
    runUntil([&] { return states.size() == 2; });
    for (const CrashWatch::State it : states)
        CHECK((it == CrashWatch::State::Alive));
    CHECK(identified == 0);
}
