#include "Decide/RequestQuarantine.h"
#include "Base/Hash.h"
#include "Base/ManualClock.h"
#include "Control/QuarantineRow.h"
#include "Control/RouterHeartbeat.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

const std::string Fatal = "fatal";
const std::string Innocent = "innocent";
const std::vector<std::string> Old = {"svc v1"};
const std::vector<std::string> New = {"svc v2"};

/// Routers that each have their own quarantine and announce their evidence to each other.
struct QuarantineFleetFixture
{
    QuarantineFleetFixture() : QuarantineFleetFixture(4) { }

    explicit QuarantineFleetFixture(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i)
            addRouter();
    }

    void addRouter()
    {
        routers.push_back(std::make_unique<RequestQuarantine>(RequestQuarantine::Options{
                .clock = clock, .random = seededRandom(routers.size() + 1), .routers = [this] {
                    return static_cast<int>(routers.size());
                }}));
    }

    /// Every router sends its updates to all others once, in the wire format.
    void exchangeUpdates()
    {
        for (const auto &from : routers) {
            std::vector<CrashUpdate> updates = from->takeUpdates();
            for (CrashUpdate &it : from->takeFirstCrashes())
                updates.push_back(std::move(it));
            const std::string text = HeartbeatCodec::encode({.name = "r", .crashes = updates});
            bytes = std::max(bytes, text.size());
            const Result<RouterHeartbeat> heartbeat = codec.decode(text);
            REQUIRE(heartbeat);
            for (const auto &to : routers) {
                if (to != from)
                    to->merge(heartbeat.value().crashes);
            }
        }
    }

    /// Router \a i observes that a replica crashes while it runs all of \a requests.
    void crash(std::size_t i, std::initializer_list<std::string> requests,
               const std::string &software = Old.front())
    {
        const std::string replica = fmt::format("i-{}", ++crashedCount);
        for (const std::string &it : requests)
            routers[i]->replicaCrashed(it, replica, software, clock.now());
    }

    /// Router \a i sends \a request to a replica, which crashes \a runTime later.
    void runAndCrash(std::size_t i, const std::string &request, Duration runTime,
                     bool isConfirmed = true)
    {
        const TimePoint sentAt = clock.now();
        clock.advance(runTime);
        routers[i]->replicaCrashed({&request, 1},
                                   {.replica = fmt::format("i-{}", ++crashedCount),
                                    .software = Old.front(),
                                    .at = clock.now(),
                                    .sentAt = sentAt,
                                    .isConfirmed = isConfirmed});
    }

    /// Router \a i loses the connections to \a replica, which ran \a request and was known to run
    /// at \a provenAt.
    void lose(std::size_t i, const std::string &request, const std::string &replica,
              TimePoint provenAt, bool isConfirmed)
    {
        routers[i]->replicaCrashed({&request, 1},
                                   {.replica = replica,
                                    .software = Old.front(),
                                    .at = clock.now(),
                                    .provenAt = provenAt,
                                    .isConfirmed = isConfirmed});
    }

    /// All routers are killed and started again. They read what router 0 has stored.
    void restartAll(bool isStoreRead = true)
    {
        std::vector<std::pair<std::string, std::string>> rows;
        for (const CrashUpdate &it : routers[0]->heldRecords(64))
            rows.emplace_back(it.fingerprint, QuarantineRow::of(it, clock.wallNow()).encode());
        const std::size_t n = routers.size();
        routers.clear();
        clock.advance(2s);
        std::vector<CrashUpdate> stored;
        for (const auto &[fingerprint, value] : rows) {
            const auto row = QuarantineRow::decode(fingerprint, value);
            REQUIRE(row);
            stored.push_back(row->toUpdate(clock.wallNow()));
        }
        for (std::size_t i = 0; i < n; ++i) {
            addRouter();
            if (isStoreRead)
                routers.back()->merge(stored);
        }
    }

    std::size_t heldBy(const std::string &request, const std::vector<std::string> &software = Old)
    {
        return static_cast<std::size_t>(
                std::count_if(routers.begin(), routers.end(), [&](const auto &it) {
                    return it->admit(request, software).has_value();
                }));
    }

    ManualClock clock;
    HeartbeatCodec codec;
    std::vector<std::unique_ptr<RequestQuarantine>> routers;
    std::size_t bytes = 0; ///< Size of the longest message so far.
    int crashedCount = 0;
};

} // namespace

// Guards against a request that crashes replicas via different routers, none of which observes
// enough crashes to hold it back.
TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_threeReplicasCrash_allRoutersHoldItBack")
{
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(heldBy(Fatal) == 0);
        crash(i, {Fatal});
        exchangeUpdates();
        clock.advance(400ms);
    }
    CHECK(heldBy(Fatal) == 4);
    const auto hold = routers[3]->admit(Fatal, Old);
    REQUIRE(hold);
    CHECK(hold->replicas == std::vector<std::string>{"i-1", "i-2", "i-3"});
    CHECK(hold->remaining > 9min);
    CHECK(heldBy(Innocent) == 0);
}

// Guards against holding back a request that many callers send, which is in progress on any replica
// that crashes.
TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_innocentCompletesBetweenCrashes_isServed")
{
    for (int i = 0; i < 20; ++i) {
        crash(static_cast<std::size_t>(i) % 4, {Innocent});
        exchangeUpdates();
        clock.advance(600ms);
        CHECK(heldBy(Innocent) == 0);
        routers[static_cast<std::size_t>(i + 1) % 4]->completed(Innocent);
        exchangeUpdates();
        clock.advance(600ms);
    }
}

// Guards against holding back the requests that were in progress on a lost rack.
TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_manyReplicasCrashAtOnce_nothingIsHeldBack")
{
    for (int i = 0; i < 30; ++i) {
        crash(static_cast<std::size_t>(i) % 4, {Innocent, Fatal});
        clock.advance(5ms);
    }
    exchangeUpdates();
    CHECK(heldBy(Innocent) == 0);
    CHECK(heldBy(Fatal) == 0);
}

// Guards against holding back a request for crashes that another request caused.
TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_crashesAreShared_onlyTheOneWithMoreIsHeld")
{
    for (std::size_t i = 0; i < 3; ++i) {
        crash(i, {Innocent, Fatal});
        exchangeUpdates();
        clock.advance(400ms);
    }
    CHECK(heldBy(Innocent) == 0);
    CHECK(heldBy(Fatal) == 0);
    crash(3, {Fatal});
    exchangeUpdates();
    clock.advance(200ms);
    CHECK(heldBy(Innocent) == 0);
    CHECK(heldBy(Fatal) == 4);
    CHECK(routers[0]->suspicion(Innocent) == 0);
}

TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_routerStartsLater_learnsWhatIsHeldBack")
{
    for (int i = 0; i < 3; ++i) {
        crash(0, {Fatal});
        exchangeUpdates();
        clock.advance(400ms);
    }
    clock.advance(1min);
    exchangeUpdates();
    addRouter();
    CHECK(heldBy(Fatal) == 4);
    clock.advance(2s);
    exchangeUpdates();
    CHECK(heldBy(Fatal) == 5);
}

// Guards against simultaneous trials by all routers when the hold time of a request is over.
TEST_CASE_FIXTURE(QuarantineFleetFixture, "requestQuarantine_holdTimeIsOver_routersTryItInTurn")
{
    for (int i = 0; i < 3; ++i) {
        crash(0, {Fatal});
        exchangeUpdates();
        clock.advance(400ms);
    }
    clock.advance(RequestQuarantine::MinHoldTime - 2s);
    int trials = 0;
    for (int i = 0; i < 200; ++i) {
        for (std::size_t k = 0; k < routers.size(); ++k) {
            if (routers[k]->admit(Fatal, Old))
                continue;
            ++trials;
            crash(k, {Fatal});
            exchangeUpdates();
        }
        clock.advance(100ms);
    }
    CHECK(trials == 1);
    CHECK(heldBy(Fatal) == 4);
}

TEST_CASE_FIXTURE(QuarantineFleetFixture, "requestQuarantine_otherSoftware_isTriedAndServedAgain")
{
    for (int i = 0; i < 3; ++i) {
        crash(0, {Fatal});
        exchangeUpdates();
        clock.advance(400ms);
    }
    const std::vector<std::string> both = {Old.front(), New.front()};
    CHECK(heldBy(Fatal, both) == 4);
    std::size_t admitting = routers.size();
    for (int i = 0; i < 100 && admitting == routers.size(); ++i) {
        for (std::size_t k = 0; k < routers.size() && admitting == routers.size(); ++k) {
            if (!routers[k]->admit(Fatal, New))
                admitting = k;
        }
        clock.advance(100ms);
    }
    REQUIRE(admitting < routers.size());
    routers[admitting]->completed(Fatal);
    exchangeUpdates();
    CHECK(heldBy(Fatal, New) == 0);
    CHECK(heldBy(Fatal, Old) == 0);
}

TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_otherSoftwareCrashesToo_isHeldBackAgain")
{
    for (int i = 0; i < 3; ++i) {
        crash(0, {Fatal});
        exchangeUpdates();
        clock.advance(400ms);
    }
    int trials = 0;
    for (int i = 0; i < 200; ++i) {
        for (std::size_t k = 0; k < routers.size(); ++k) {
            if (routers[k]->admit(Fatal, New))
                continue;
            ++trials;
            crash(k, {Fatal}, New.front());
            exchangeUpdates();
        }
        clock.advance(100ms);
    }
    CHECK(trials == 1);
}

// Guards against memory use and messages that grow with the number of requests in progress on a
// lost rack.
namespace {

const std::string System = RequestQuarantine::partKey("svc", 1); ///< First part of all prompts.
const std::string Deadly = RequestQuarantine::partKey("svc", 2);
const std::string Other = RequestQuarantine::partKey("svc", 3);

/// Requests of which no two have the same content.
struct PromptPartFixture : QuarantineFleetFixture
{
    std::vector<std::string> request(std::initializer_list<std::string> parts)
    {
        std::vector<std::string> out = {fmt::format("content-{}", ++contents)};
        out.insert(out.end(), parts.begin(), parts.end());
        return out;
    }

    /// Router \a i observes that a replica crashes while it runs each of \a requests.
    void crashUnder(std::size_t i, const std::vector<std::vector<std::string>> &requests)
    {
        const std::string replica = fmt::format("i-{}", ++crashedCount);
        for (const auto &it : requests)
            routers[i]->replicaCrashed(it, replica, Old.front(), clock.now());
        exchangeUpdates();
        exchangeUpdates();
        clock.advance(400ms);
    }

    void complete(std::size_t i, std::initializer_list<std::string> parts)
    {
        routers[i]->completed(request(parts));
        exchangeUpdates();
        clock.advance(10ms);
    }

    /// \returns how many routers hold back a request with \a parts and a new content.
    std::size_t heldWith(std::initializer_list<std::string> parts)
    {
        const std::vector<std::string> suspects = request(parts);
        return static_cast<std::size_t>(
                std::count_if(routers.begin(), routers.end(), [&](const auto &it) {
                    return it->admit(suspects, Old).has_value();
                }));
    }

    int contents = 0;
};

} // namespace

// Guards against a prompt part that crashes one replica after the other in requests of which no two
// have the same content.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_promptPartCrashesReplicas_isHeldInAny")
{
    for (std::size_t i = 0; i < 3; ++i) {
        crashUnder(i, {request({System, Deadly}), request({System, Other})});
        complete(3, {System, Other});
    }
    CHECK(heldWith({System, Deadly}) == 4);
    CHECK(heldWith({Deadly}) == 4);
    CHECK(heldWith({System, Other}) == 0);
    CHECK(heldWith({}) == 0);
    CHECK(routers[0]->suspicion(request({System, Other})) == 0);
}

// Guards against refusing all requests of a service that has completed none since the first crash.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_nothingCompletes_firstPartIsNotHeldAlone")
{
    for (std::size_t i = 0; i < 5; ++i)
        crashUnder(i % 4, {request({System, Deadly})});
    CHECK(heldWith({System, Deadly}) == 4);
    CHECK(heldWith({System}) == 0);
    CHECK(heldWith({System, Other}) == 0);
    CHECK(routers[0]->suspicion(request({System, Other})) == 0);
    // The first completed run tells the two apart.
    complete(0, {System, Other});
    exchangeUpdates();
    clock.advance(300ms);
    CHECK(heldWith({Deadly}) == 4);
    CHECK(heldWith({System, Other}) == 0);
}

// Guards against blaming the part that the requests with two deadly parts have in common.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_twoDeadlyParts_sharedFirstPartIsNotHeld")
{
    for (std::size_t i = 0; i < 6; ++i)
        crashUnder(i % 4, {request({System, i % 2 == 0 ? Deadly : Other})});
    CHECK(heldWith({System, Deadly}) == 4);
    CHECK(heldWith({System, Other}) == 4);
    CHECK(heldWith({System}) == 0);
}

TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_nothingCompletes_singlePartIsNotHeld")
{
    for (std::size_t i = 0; i < 4; ++i)
        crashUnder(i, {request({System})});
    CHECK(heldWith({System}) == 0);
    // What another service completes says nothing about this one.
    const std::string foreign = RequestQuarantine::partKey("svc2", 1);
    crashUnder(0, {request({foreign})});
    complete(0, {foreign});
    CHECK(heldWith({System}) == 0);
}

// Guards against a caller that gets a popular part held back by sending it with deadly ones.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_popularPartSentWithDeadlyOne_isServed")
{
    for (std::size_t i = 0; i < 8; ++i) {
        crashUnder(i % 4, {request({System, Other, Deadly})});
        complete((i + 1) % 4, {System, Other});
    }
    CHECK(heldWith({System, Other, Deadly}) == 4);
    CHECK(heldWith({System, Other}) == 0);
    CHECK(heldWith({Other}) == 0);
}

// Guards against holding back the parts of a request whose content alone crashes replicas.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_sameContentCrashes_partsAreNotHeld")
{
    const std::vector<std::string> same = request({System, Other});
    for (std::size_t i = 0; i < 4; ++i)
        crashUnder(i, {same});
    CHECK(routers[0]->admit(same, Old));
    CHECK(heldWith({System, Other}) == 0);
}

// Guards against holding back a harmless part of some deadly requests: a crash that the full record
// of the deadly part has no room for looks like one without it.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_deadlyPartHasAFullRecord_otherPartIsServed")
{
    for (std::size_t i = 0; i < 8; ++i) {
        const std::string replica = fmt::format("i-{}", ++crashedCount);
        routers[0]->replicaCrashed(i < 4 ? request({System, Deadly})
                                         : request({System, Deadly, Other}),
                                   replica, Old.front(), clock.now());
    }
    for (std::size_t i = 0; i < 3; ++i) {
        exchangeUpdates();
        clock.advance(1s);
        complete(3, {System});
        crashUnder(i, {request({System, Deadly, Other})});
    }
    CHECK(heldWith({System, Deadly}) == 4);
    CHECK(heldWith({System, Other}) == 0);
}

TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_heldPartCompletes_isReleased")
{
    for (std::size_t i = 0; i < 3; ++i) {
        crashUnder(i, {request({System, Deadly})});
        complete(3, {System});
    }
    REQUIRE(heldWith({Deadly}) == 4);
    complete(0, {System, Deadly});
    CHECK(heldWith({Deadly}) == 0);
}

namespace {

struct SharedCrashFixture : QuarantineFleetFixture
{
    void crashUnder(std::initializer_list<std::string> requests)
    {
        crash(0, requests);
        exchangeUpdates();
        exchangeUpdates();
        clock.advance(400ms);
    }
};

} // namespace

// Guards against a fatal request that is released because another one with more incidents ran on
// one of the replicas that it crashed.
TEST_CASE_FIXTURE(SharedCrashFixture, "requestQuarantine_twoFatalRequestsShareACrash_bothStayHeld")
{
    const std::string other = "other";
    crashUnder({Fatal, other});
    crashUnder({Fatal});
    crashUnder({Fatal});
    REQUIRE(heldBy(Fatal) == 4);
    for (int i = 0; i < 3; ++i)
        crashUnder({other});
    CHECK(heldBy(other) == 4);
    CHECK(heldBy(Fatal) == 4);
    clock.advance(9s);
    CHECK(heldBy(Fatal) < 4); // A trial.
    crashUnder({Fatal});
    CHECK(heldBy(Fatal) == 4);
    clock.advance(1min);
    CHECK(heldBy(Fatal) == 4);
    CHECK(heldBy(other) == 4);
}

// Guards against a fatal request that is released because harmless ones were running on the
// replicas that it crashed and have as many crashes by now.
TEST_CASE_FIXTURE(SharedCrashFixture,
                  "requestQuarantine_harmlessOnesHaveAsManyCrashes_fatalOneStaysHeld")
{
    const std::string other = "other";
    crashUnder({Fatal, Innocent});
    crashUnder({Fatal, Innocent});
    crashUnder({Fatal, other});
    REQUIRE(heldBy(Fatal) == 4);
    crashUnder({Innocent});
    crashUnder({other});
    crashUnder({other});
    CHECK(heldBy(Fatal) >= 3); // The first trial may be due already.
    clock.advance(9s);
    CHECK(heldBy(Fatal) < 4); // A trial.
    crashUnder({Fatal});
    CHECK(heldBy(Fatal) == 4);
    CHECK(heldBy(Innocent) == 0);
}

// Guards against a fatal request that goes on crashing replicas because another fatal one was
// running on one of those that it crashed.
TEST_CASE_FIXTURE(SharedCrashFixture,
                  "requestQuarantine_heldRequestRanOnACrashedReplica_bothAreHeld")
{
    const std::string other = "other";
    crashUnder({other});
    crashUnder({Fatal});
    crashUnder({other});
    crashUnder({other});
    REQUIRE(heldBy(other) == 4);
    crashUnder({other, Fatal});
    crashUnder({Fatal});
    CHECK(heldBy(Fatal) >= 3); // The first trial may be due already.
    CHECK(heldBy(other) == 4);
    clock.advance(9s);
    CHECK(heldBy(Fatal) < 4); // A trial.
    crashUnder({Fatal});
    CHECK(heldBy(Fatal) == 4);
}

// Guards against the same if a harmless request with as many crashes was running on one of them.
TEST_CASE_FIXTURE(SharedCrashFixture,
                  "requestQuarantine_oneCrashIsSharedWithEquallySuspected_bothAreTriedSoon")
{
    crashUnder({Innocent});
    crashUnder({Fatal});
    crashUnder({Innocent});
    crashUnder({Fatal});
    crashUnder({Fatal, Innocent});
    CHECK(heldBy(Fatal) >= 3);
    clock.advance(9s);
    CHECK(heldBy(Innocent) < 4); // A trial.
    routers[0]->completed(Innocent);
    exchangeUpdates();
    exchangeUpdates();
    CHECK(heldBy(Innocent) == 0);
    crashUnder({Fatal});
    CHECK(heldBy(Fatal) == 4);
}

// Guards against a fatal request that is released because the update on a harmless one, which other
// crashes broke as well, arrives a moment later.
TEST_CASE_FIXTURE(SharedCrashFixture,
                  "requestQuarantine_updateOnAnotherComesLater_fatalOneStaysHeld")
{
    for (int i = 0; i < 3; ++i) {
        crash(1, {Innocent}); // Not announced yet.
        clock.advance(400ms);
    }
    crashUnder({Fatal});
    crashUnder({Fatal});
    const std::string shared = fmt::format("i-{}", ++crashedCount);
    routers[1]->replicaCrashed(Innocent, shared, Old.front(), clock.now());
    routers[0]->replicaCrashed(Fatal, shared, Old.front(), clock.now());
    routers[1]->merge(routers[0]->takeUpdates());
    clock.advance(20ms);
    exchangeUpdates();
    exchangeUpdates();
    clock.advance(400ms);
    CHECK(heldBy(Fatal) >= 3); // A first trial may be due already.
}

// Guards against a harmless request that stays held for the whole hold time, although another one
// explains so many of its crashes that it would not be held any more.
TEST_CASE_FIXTURE(SharedCrashFixture,
                  "requestQuarantine_anotherRequestExplainsACrash_harmlessOneIsTriedSoon")
{
    crashUnder({Innocent, Fatal});
    crashUnder({Innocent});
    crashUnder({Innocent});
    REQUIRE(heldBy(Innocent) == 4);
    for (int i = 0; i < 3; ++i)
        crashUnder({Fatal});
    CHECK(heldBy(Fatal) == 4);
    clock.advance(9s);
    CHECK(heldBy(Innocent) < 4); // A trial.
    routers[0]->completed(Innocent);
    exchangeUpdates();
    exchangeUpdates();
    CHECK(heldBy(Innocent) == 0);
    CHECK(heldBy(Fatal) == 4);
}

// Guards against a request that crashes replicas for as long as it is sent, because it crashes all
// of them at a time and no router can tell that from the loss of its own paths.
TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_noCrashCanBeConfirmed_requestIsHeldAndTriedSoon")
{
    for (std::size_t i = 0; i < 3; ++i) {
        lose(i, Fatal, fmt::format("i-{}", i), clock.now(), false);
        exchangeUpdates();
        clock.advance(400ms);
    }
    CHECK(heldBy(Fatal) >= 3); // The first trial may be due already.
    clock.advance(9s);
    REQUIRE(heldBy(Fatal) < 4); // A trial.
    // A crash under the trial counts, and the next trial is not due at once.
    lose(0, Fatal, "i-3", clock.now(), true);
    exchangeUpdates();
    CHECK(heldBy(Fatal) == 4);
    clock.advance(9s);
    REQUIRE(heldBy(Fatal) < 4);
    routers[0]->completed(Fatal);
    exchangeUpdates();
    CHECK(heldBy(Fatal) == 0);
}

// Guards against a harmless request that is held back because all routers lose their paths to all
// replicas, which none of them can tell from crashes.
TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_allPathsAreLostForAMoment_harmlessRequestIsServed")
{
    for (int cuts = 0; cuts < 5; ++cuts) {
        for (std::size_t i = 0; i < 12; ++i) {
            lose(i % 4, Innocent, fmt::format("i-{}", i), clock.now(), false);
            clock.advance(10ms);
        }
        exchangeUpdates();
        clock.advance(1s);
        CHECK(heldBy(Innocent) == 0);
        routers[0]->completed(Innocent);
        exchangeUpdates();
        clock.advance(100ms);
    }
}

// Guards against counting only the first crash of a replica that returns under its registration.
TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_replicaReturnsUnderItsId_eachCrashCounts")
{
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(heldBy(Fatal) == 0);
        const TimePoint provenAt = clock.now();
        clock.advance(100ms);
        lose(i, Fatal, "i-1", provenAt, true);
        // Another router sees the same crash a moment later.
        clock.advance(20ms);
        lose(3, Fatal, "i-1", provenAt, true);
        exchangeUpdates();
        clock.advance(2s);
    }
    CHECK(heldBy(Fatal) == 4);
    const auto hold = routers[0]->admit(Fatal, Old);
    REQUIRE(hold);
    REQUIRE(hold->replicas.size() == 3);
    for (const std::string &it : hold->replicas)
        CHECK(RequestQuarantine::incarnationOf(it) == "i-1");
}

// Guards against a fatal request that is held back late or never, because replicas that crash
// within moments of each other count as one incident although each run began after the crash before
// it.
TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_replicasCrashOneAfterTheOther_isHeldAfterThree")
{
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(heldBy(Fatal) == 0);
        runAndCrash(i, Fatal, 20ms);
        exchangeUpdates();
        clock.advance(50ms);
    }
    clock.advance(200ms);
    CHECK(heldBy(Fatal) == 4);
}

// Guards against holding back a request that runs on many replicas when a rack is lost.
TEST_CASE_FIXTURE(QuarantineFleetFixture, "requestQuarantine_runsBeganBeforeARackIsLost_isNotHeld")
{
    const TimePoint sentAt = clock.now();
    clock.advance(100ms);
    for (std::size_t i = 0; i < 6; ++i) {
        routers[i % 4]->replicaCrashed({&Innocent, 1},
                                       {.replica = fmt::format("i-{}", i),
                                        .software = Old.front(),
                                        .at = clock.now(),
                                        .sentAt = sentAt + Duration(i * 10ms)});
        exchangeUpdates();
        clock.advance(60ms);
    }
    clock.advance(200ms);
    CHECK(heldBy(Innocent) == 0);
    CHECK(routers[0]->suspicion(Innocent) == 1);
}

// Guards against a fatal request that is never held back because the first incident fills its
// record, so that later crashes don't count.
TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_firstIncidentFillsTheRecord_laterCrashesCount")
{
    for (int i = 0; i < 8; ++i)
        crash(0, {Fatal});
    for (std::size_t i = 1; i < 3; ++i) {
        exchangeUpdates();
        clock.advance(1s);
        CHECK(heldBy(Fatal) == 0);
        crash(i, {Fatal});
    }
    exchangeUpdates();
    clock.advance(300ms);
    CHECK(heldBy(Fatal) == 4);
}

// Guards against trials that crash one replica after the other: a request that is held in doubt is
// tried within seconds, and a failed trial must end the doubt at all routers.
TEST_CASE_FIXTURE(QuarantineFleetFixture,
                  "requestQuarantine_trialsCrashReplicas_theyAreFewOverTheFleet")
{
    constexpr int MaxTrialsInAnHour = 4;
    for (int i = 0; i < 9; ++i) {
        runAndCrash(static_cast<std::size_t>(i) % 4, Fatal, 20ms, false);
        exchangeUpdates();
        clock.advance(100ms);
    }
    REQUIRE(heldBy(Fatal) >= 3); // The first trial may be due already.
    int trials = 0;
    const TimePoint until = clock.now() + 1h;
    while (clock.now() < until) {
        for (std::size_t k = 0; k < routers.size(); ++k) {
            if (routers[k]->admit(Fatal, Old))
                continue;
            ++trials;
            runAndCrash(k, Fatal, 20ms);
            exchangeUpdates();
        }
        clock.advance(500ms);
    }
    CHECK(trials >= 1);
    CHECK(trials <= MaxTrialsInAnHour);
}

namespace {

/// A request is held in doubt, because nobody has confirmed its crashes.
struct DoubtfulHoldFixture : QuarantineFleetFixture
{
    DoubtfulHoldFixture()
    {
        for (std::size_t i = 0; i < 3; ++i) {
            runAndCrash(i, Fatal, 20ms, false);
            exchangeUpdates();
            clock.advance(400ms);
        }
    }

    /// \returns the first router that admits a trial within \a time, if any does.
    std::optional<std::size_t> waitForTrial(Duration time)
    {
        for (const TimePoint until = clock.now() + time; clock.now() < until;
             clock.advance(100ms)) {
            for (std::size_t i = 0; i < routers.size(); ++i) {
                if (!routers[i]->admit(Fatal, Old))
                    return i;
            }
        }
        return std::nullopt;
    }
};

} // namespace

// Guards against a hold that stays in doubt, and short, after a trial has crashed a replica.
TEST_CASE_FIXTURE(DoubtfulHoldFixture,
                  "requestQuarantine_trialCrashesAReplica_nextOneIsDueAfterTheHoldTime")
{
    const std::optional<std::size_t> trying = waitForTrial(10s);
    REQUIRE(trying);
    runAndCrash(*trying, Fatal, 20ms);
    exchangeUpdates();
    CHECK_FALSE(waitForTrial(RequestQuarantine::MinHoldTime));
    CHECK(waitForTrial(2 * RequestQuarantine::MinHoldTime));
}

// Guards against trials of several routers at the same time, each of which may crash a replica.
TEST_CASE_FIXTURE(DoubtfulHoldFixture, "requestQuarantine_trialIsRunning_otherRoutersWait")
{
    const std::optional<std::size_t> trying = waitForTrial(10s);
    REQUIRE(trying);
    routers[*trying]->sent(Fatal);
    exchangeUpdates();
    CHECK_FALSE(waitForTrial(4s));
}

// Guards against trials of all routers at the same moment, each of which may crash a replica: they
// wait for the outcome of one that can't be told, because nobody confirms the crash.
TEST_CASE_FIXTURE(DoubtfulHoldFixture, "requestQuarantine_trialHasNoOutcome_nextOnesComeOneByOne")
{
    const std::optional<std::size_t> trying = waitForTrial(10s);
    REQUIRE(trying);
    routers[*trying]->sent(Fatal);
    exchangeUpdates();
    int trials = 0;
    int trialsAtOnce = 0;
    for (const TimePoint until = clock.now() + 15min; clock.now() < until; clock.advance(50ms)) {
        int admitted = 0;
        for (const auto &it : routers) {
            if (it->admit(Fatal, Old))
                continue;
            it->sent(Fatal);
            ++admitted;
        }
        trials += admitted;
        trialsAtOnce = std::max(trialsAtOnce, admitted);
        if (admitted > 0)
            exchangeUpdates();
    }
    CHECK(trials >= 2);
    CHECK(trialsAtOnce == 1);
    // The time between two trials at least doubles, from five seconds to the hold time.
    CHECK(trials <= 9);
}

// Guards against routers that wait for the outcome of a trial that was refused for another reason,
// so that a harmless request is held longer.
TEST_CASE_FIXTURE(DoubtfulHoldFixture, "requestQuarantine_trialIsNotSent_otherRoutersTry")
{
    const std::optional<std::size_t> trying = waitForTrial(10s);
    REQUIRE(trying);
    exchangeUpdates();
    const std::optional<std::size_t> next = waitForTrial(9s);
    REQUIRE(next);
    CHECK(*next != *trying);
}

// Guards against several crashes counted for requests that are sent to one crashed replica.
TEST_CASE_FIXTURE(QuarantineFleetFixture, "requestQuarantine_replicaStaysDown_itsCrashCountsOnce")
{
    const TimePoint provenAt = clock.now();
    for (std::size_t i = 0; i < 4; ++i) {
        lose(i, Fatal, "i-1", provenAt, true);
        exchangeUpdates();
        clock.advance(2s);
    }
    CHECK(heldBy(Fatal) == 0);
    CHECK(routers[0]->suspicion(Fatal) == 1);
}

// Guards against a restart of all routers that forgets what is held back, so that it crashes
// replicas again until it is found anew.
TEST_CASE_FIXTURE(QuarantineFleetFixture, "requestQuarantine_allRoutersRestart_requestStaysHeld")
{
    for (std::size_t i = 0; i < 3; ++i) {
        crash(i, {Fatal, Innocent});
        exchangeUpdates();
        clock.advance(400ms);
        routers[3]->completed(Innocent);
        exchangeUpdates();
    }
    REQUIRE(heldBy(Fatal) == 4);
    restartAll();
    CHECK(heldBy(Fatal) == 4);
    CHECK(heldBy(Innocent) == 0);
    restartAll();
    CHECK(heldBy(Fatal) == 4);
    CHECK(heldBy(Fatal, New) == 4);
    clock.advance(9s);
    CHECK(heldBy(Fatal, New) == 0); // Trials are allowed after the other software has left.
    clock.advance(10min + 8s);
    CHECK(heldBy(Fatal) == 0); // The hold time counts from the last crash.
}

// Guards against the same for a part, which needs completed runs that the routers have forgotten.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_allRoutersRestart_partStaysHeld")
{
    for (std::size_t i = 0; i < 3; ++i) {
        crashUnder(i, {request({System, Deadly})});
        complete(3, {System});
    }
    REQUIRE(heldWith({System, Deadly}) == 4);
    restartAll();
    CHECK(heldWith({System, Deadly}) == 4);
    CHECK(heldWith({Deadly}) == 4);
    CHECK(heldWith({System, Other}) == 0);
    complete(0, {System, Deadly});
    CHECK(heldWith({System, Deadly}) == 0);
}

// Guards against a fatal content whose crashes are forgotten by a restart of all routers because a
// part that it has in common with harmless requests was held for them.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_allRoutersRestart_otherSuspectsAreKept")
{
    const std::vector<std::string> fatal = request({System, Deadly});
    crashUnder(0, {request({System, Deadly})});
    crashUnder(1, {fatal});
    complete(3, {System, Other});
    crashUnder(2, {fatal});
    REQUIRE(heldWith({Deadly}) == 4);
    restartAll();
    CHECK(heldWith({Deadly}) == 4);
    // The part was held for the content: another request with it completes.
    complete(0, {System, Deadly});
    REQUIRE(heldWith({Deadly}) == 0);
    crashUnder(3, {fatal});
    CHECK(routers[0]->admit(fatal, Old));
}

// Guards against a restart after which one part of a held combination is held alone.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_allRoutersRestart_combinationStaysHeld")
{
    for (std::size_t i = 0; i < 3; ++i)
        crashUnder(i, {request({System, Deadly})});
    REQUIRE(heldWith({System, Deadly}) == 4);
    REQUIRE(heldWith({System}) == 0);
    restartAll();
    CHECK(heldWith({System, Deadly}) == 4);
    CHECK(heldWith({System}) == 0);
}

// Guards against a router that holds back a part that all requests share, because another one holds
// it together with a part of which this router has no record yet.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_othersHoldACombination_partIsNotHeldAlone")
{
    for (std::size_t i = 0; i < 3; ++i)
        crashUnder(i, {request({System, Deadly})});
    REQUIRE(heldWith({System, Deadly}) == 4);
    std::vector<CrashUpdate> updates = routers[0]->heldRecords(64);
    std::erase_if(updates, [](const CrashUpdate &it) { return it.fingerprint != System; });
    addRouter();
    routers.back()->merge(updates);
    CHECK(heldWith({System}) == 0);
}

// Guards against a router that joins and lacks the evidence that a part crashes replicas alone.
TEST_CASE_FIXTURE(PromptPartFixture, "requestQuarantine_routerJoins_holdsThePartThatOthersHold")
{
    for (std::size_t i = 0; i < 3; ++i) {
        crashUnder(i, {request({System, Deadly})});
        complete(3, {System});
    }
    REQUIRE(heldWith({Deadly}) == 4);
    for (int i = 0; i < 20; ++i) {
        exchangeUpdates();
        clock.advance(400ms);
    }
    addRouter();
    for (int i = 0; i < 20; ++i) {
        exchangeUpdates();
        clock.advance(400ms);
    }
    CHECK(heldWith({Deadly}) == 5);
}

TEST_CASE("quarantineRow_crashIsNotConfirmed_isReadSo")
{
    const ManualClock clock;
    const CrashUpdate record{
            .fingerprint = Fatal,
            .replicaCrashes = {{.replica = "i-1", .software = Old.front()},
                               {.replica = "i-2", .software = Old.front(), .isConfirmed = false}},
            .isHeld = true};
    const QuarantineRow row = QuarantineRow::of(record, clock.wallNow());
    const auto read = QuarantineRow::decode(Fatal, row.encode());
    REQUIRE(read);
    CHECK(read->hasSameEvidence(row));
    const CrashUpdate adopted = read->toUpdate(clock.wallNow());
    REQUIRE(adopted.replicaCrashes.size() == 2);
    CHECK(adopted.replicaCrashes[0].isConfirmed);
    CHECK_FALSE(adopted.replicaCrashes[1].isConfirmed);
}

// Guards against a restart of all routers after which crashes join to fewer incidents, or a failed
// trial is forgotten.
TEST_CASE("quarantineRow_runTimesAndTrials_areReadAsWritten")
{
    const WallTime now(1'700'000'000'000ms);
    const CrashUpdate record{.fingerprint = "f",
                             .replicaCrashes = {{.replica = "i-1", .age = 2s, .runTime = 70ms},
                                                {.replica = "i-2", .age = 1s, .isTrial = true}},
                             .isHeld = true};
    const auto row = QuarantineRow::decode("f", QuarantineRow::of(record, now).encode());
    REQUIRE(row);
    const CrashUpdate read = row->toUpdate(now);
    REQUIRE(read.replicaCrashes.size() == 2);
    CHECK(read.replicaCrashes[0].runTime == 70ms);
    CHECK_FALSE(read.replicaCrashes[0].isTrial);
    CHECK(read.replicaCrashes[1].runTime == ReplicaCrash::UnknownRunTime);
    CHECK(read.replicaCrashes[1].isTrial);
    // As written by a program that doesn't know these fields.
    const auto older = QuarantineRow::decode("f", R"({"held":true,"crashes":[["i-1","s",1]]})");
    REQUIRE(older);
    CHECK(older->crashes.front().runTime == ReplicaCrash::UnknownRunTime);
}

TEST_CASE("quarantineRow_valueIsMalformed_isNotRead")
{
    for (const char *it :
         {"", "[]", "{}", R"({"held":1,"crashes":[]})",
          R"({"held":true,"crashes":[["i-1","svc v1"]]})",
          R"({"held":true,"crashes":[["i-1",2,3]]})",
          R"({"held":true,"crashes":[["i-1","svc v1",-1]]})",
          R"({"held":true,"crashes":[["i-1","svc v1",9000000000000000000]]})", R"({"held":true})"})
        CHECK_FALSE(QuarantineRow::decode(Fatal, it));
}

TEST_CASE("requestQuarantine_manySuspects_areBoundedAndTheWorstIsKept")
{
    QuarantineFleetFixture fleet(2);
    for (int i = 0; i < 3; ++i) {
        fleet.crash(0, {Fatal});
        fleet.clock.advance(300ms);
    }
    for (int i = 0; i < 20'000; ++i)
        fleet.crash(0, {fmt::format("suspect-{:016}", i)});
    CHECK(fleet.routers[0]->size() <= 4096);
    for (int i = 0; i < 100; ++i) {
        fleet.exchangeUpdates();
        fleet.clock.advance(400ms);
    }
    CHECK(fleet.bytes < 8000); // Up to 64 first incidents; FleetTask splits them into datagrams.
    CHECK(fleet.heldBy(Fatal) == 2);
}

/// A fleet in which each router sends to a part of the others at each heartbeat.
struct LargeFleetFixture : QuarantineFleetFixture
{
    static constexpr std::size_t Routers = 890;
    static constexpr std::size_t Fanout = 26; ///< Receivers of a heartbeat.
    static constexpr std::size_t UrgentFanout = 78;
    static constexpr std::size_t Holders = 8;

    LargeFleetFixture() : QuarantineFleetFixture(Routers)
    {
        RandomSource random = seededRandom(5);
        for (std::size_t i = 0; i < Routers; ++i)
            next.push_back(below(random, Routers));
    }

    void send(std::size_t to, const std::vector<CrashUpdate> &updates)
    {
        ++messages;
        routers[to % Routers]->merge(updates);
    }

    void announceFrom(std::size_t i, std::size_t n)
    {
        const std::vector<CrashUpdate> updates = routers[i]->takeUpdates();
        for (std::size_t k = 0; !updates.empty() && k < n; ++k)
            send(next[i] + k, updates);
        next[i] += n;
        for (const CrashUpdate &it : routers[i]->takeFirstCrashes()) {
            for (std::size_t k = 0; k < Holders; ++k)
                send(hash64(it.fingerprint, k), {it});
        }
    }

    void heartbeat()
    {
        for (std::size_t i = 0; i < Routers; ++i)
            announceFrom(i, Fanout);
        clock.advance(400ms);
    }

    std::vector<std::size_t> next; ///< Receiver of each router's next message.
    std::size_t messages = 0; ///< Number of messages with updates.
};

// Guards against routers of a large fleet that have not received the evidence when the request is
// sent again.
TEST_CASE_FIXTURE(LargeFleetFixture, "requestQuarantine_largeFleet_allHoldItBackWithinThreeSeconds")
{
    for (std::size_t i = 0; i < 3; ++i) {
        crash(i * 300, {Fatal});
        announceFrom(i * 300, UrgentFanout);
        heartbeat();
    }
    for (int i = 0; i < 6; ++i) // With the heartbeat above, 2.8 s after the third crash.
        heartbeat();
    CHECK(heldBy(Fatal) == Routers);
}

// Guards against a flood of messages when a failure domain is lost with all requests in progress
// there.
TEST_CASE_FIXTURE(LargeFleetFixture,
                  "requestQuarantine_failureDomainLost_onlyHoldersReceiveUpdates")
{
    constexpr std::size_t Suspects = 9'000;
    for (std::size_t i = 0; i < Suspects; ++i)
        crash(i % Routers, {fmt::format("suspect-{:016}", i)});
    for (int i = 0; i < 10; ++i)
        heartbeat();
    CHECK(messages <= 2 * Holders * Suspects);
    CHECK(heldBy("suspect-0000000000000001") == 0);
    messages = 0;
    for (int i = 0; i < 10; ++i)
        heartbeat();
    CHECK(messages == 0);
}

TEST_CASE("crashRecord_crashIsConfirmedLater_staysConfirmed")
{
    const ManualClock clock;
    CrashRecord record;
    CHECK(record.add({.replica = "i-1", .at = clock.now(), .isConfirmed = false}));
    CHECK_FALSE(record.add({.replica = "i-1", .at = clock.now(), .isConfirmed = false}));
    CHECK(record.add({.replica = "i-1", .at = clock.now()}));
    CHECK_FALSE(record.add({.replica = "i-1", .at = clock.now(), .isConfirmed = false}));
    REQUIRE(record.replicaCrashes().size() == 1);
    CHECK(record.replicaCrashes().front().isConfirmed);
}

TEST_CASE("crashRecord_mergedInAnyOrder_isTheSame")
{
    ManualClock clock;
    std::vector<ReplicaCrash> replicaCrashes;
    replicaCrashes.reserve(12);
    for (int i = 0; i < 12; ++i)
        replicaCrashes.push_back(
                {.replica = fmt::format("i-{}", i), .at = clock.now() + i * 300ms});
    std::vector<std::string> first;
    RandomSource random = seededRandom(3);
    for (int i = 0; i < 200; ++i) {
        for (std::size_t k = replicaCrashes.size() - 1; k > 0; --k)
            std::swap(replicaCrashes[k], replicaCrashes[below(random, k + 1)]);
        CrashRecord record;
        for (const ReplicaCrash &it : replicaCrashes)
            record.add(it);
        std::vector<std::string> stored;
        for (const ReplicaCrash &it : record.replicaCrashes())
            stored.push_back(it.replica);
        if (first.empty())
            first = stored;
        CHECK(stored == first);
    }
    CHECK(first.back() == "i-11");
}
