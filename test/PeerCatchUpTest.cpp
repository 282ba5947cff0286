#include "Control/PeerCatchUp.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct PeerCatchUpFixture
{
    RouterHeartbeat heartbeat{.name = "a",
                              .revision = 4,
                              .proofAge = 100ms,
                              .replicasHash = 7,
                              .replicasPosition = {.version = 9}};
    PeerCatchUp::Known own{.revision = 4,
                           .proofAge = 100ms,
                           .replicasHash = 7,
                           .replicasPosition = {.version = 9}};
    PeerCatchUp catchUp{{.configApplyTimeout = 2s}};
};

} // namespace

TEST_CASE_FIXTURE(PeerCatchUpFixture, "peerCatchUp_routerJustStarted_asksForCachedPrompts")
{
    CHECK(catchUp.shouldFetchFrom(heartbeat, own));
    catchUp.promptsReceived(true);
    CHECK_FALSE(catchUp.shouldFetchFrom(heartbeat, own));
}

TEST_CASE_FIXTURE(PeerCatchUpFixture, "peerCatchUp_peersKnowNoPrompts_asksABoundedNumberOfTimes")
{
    int asks = 0;
    while (asks < 100 && catchUp.shouldFetchFrom(heartbeat, own)) {
        catchUp.promptsReceived(false);
        ++asks;
    }
    CHECK(asks == 3);
    CHECK_FALSE(catchUp.needsPrompts());
}

TEST_CASE_FIXTURE(PeerCatchUpFixture, "peerCatchUp_peerWithNewerState_isAsked")
{
    catchUp.promptsReceived(true);
    RouterHeartbeat newer = heartbeat;
    newer.revision = 5;
    CHECK(catchUp.shouldFetchFrom(newer, own));
    newer = heartbeat;
    newer.replicasHash = 8;
    CHECK_FALSE(catchUp.shouldFetchFrom(newer, own));
    newer.replicasPosition = {.version = 10};
    CHECK(catchUp.shouldFetchFrom(newer, own));
    newer.replicasPosition = {.era = 1, .version = 2};
    CHECK(catchUp.shouldFetchFrom(newer, own));
}

TEST_CASE_FIXTURE(PeerCatchUpFixture, "peerCatchUp_ownProofOld_asksOnlyPeersWithAFreshProof")
{
    catchUp.promptsReceived(true);
    own.proofAge = 2600ms;
    CHECK(catchUp.shouldFetchFrom(heartbeat, own));
    heartbeat.proofAge = 1100ms;
    CHECK_FALSE(catchUp.shouldFetchFrom(heartbeat, own));
    CHECK(catchUp.maxPeerProofAge() == 2s);
}

TEST_CASE_FIXTURE(PeerCatchUpFixture, "peerCatchUp_longerConfigApplyLimit_allowsOlderProofs")
{
    PeerCatchUp withLongerLimit({.configApplyTimeout = 4s});
    withLongerLimit.promptsReceived(true);
    own.proofAge = 2600ms;
    CHECK_FALSE(withLongerLimit.shouldFetchFrom(heartbeat, own));
    own.proofAge = 5100ms;
    CHECK(withLongerLimit.shouldFetchFrom(heartbeat, own));
}
