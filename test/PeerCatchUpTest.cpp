#include "Control/PeerCatchUp.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct PeerCatchUpFixture
{
    RouterBeat beat{
            .name = "a", .revision = 4, .proofAge = 100ms, .replicasHash = 7, .replicasVersion = 9};
    PeerCatchUp::Known own{
            .revision = 4, .proofAge = 100ms, .replicasHash = 7, .replicasVersion = 9};
    PeerCatchUp catchUp{{.configLimit = 2s}};
};

} // namespace

TEST_CASE_FIXTURE(PeerCatchUpFixture, "peerCatchUp_routerJustStarted_asksForCachedPrompts")
{
    CHECK(catchUp.isWorthAsking(beat, own));
    catchUp.promptsTold(true);
    CHECK_FALSE(catchUp.isWorthAsking(beat, own));
}

TEST_CASE_FIXTURE(PeerCatchUpFixture, "peerCatchUp_peersKnowNoPrompts_asksABoundedNumberOfTimes")
{
    int asks = 0;
    while (asks < 100 && catchUp.isWorthAsking(beat, own)) {
        catchUp.promptsTold(false);
        ++asks;
    }
    CHECK(asks == 3);
    CHECK_FALSE(catchUp.wantsPrompts());
}

TEST_CASE_FIXTURE(PeerCatchUpFixture, "peerCatchUp_peerWithNewerState_isAsked")
{
    catchUp.promptsTold(true);
    RouterBeat newer = beat;
    newer.revision = 5;
    CHECK(catchUp.isWorthAsking(newer, own));
    newer = beat;
    newer.replicasHash = 8;
    CHECK_FALSE(catchUp.isWorthAsking(newer, own));
    newer.replicasVersion = 10;
    CHECK(catchUp.isWorthAsking(newer, own));
}

TEST_CASE_FIXTURE(PeerCatchUpFixture, "peerCatchUp_ownProofOld_asksOnlyPeersWithAFreshProof")
{
    catchUp.promptsTold(true);
    own.proofAge = 2600ms;
    CHECK(catchUp.isWorthAsking(beat, own));
    beat.proofAge = 1100ms;
    CHECK_FALSE(catchUp.isWorthAsking(beat, own));
    CHECK(catchUp.maxPeerProofAge() == 2s);
}

TEST_CASE_FIXTURE(PeerCatchUpFixture, "peerCatchUp_longerConfigApplyLimit_allowsOlderProofs")
{
    PeerCatchUp patient({.configLimit = 4s});
    patient.promptsTold(true);
    own.proofAge = 2600ms;
    CHECK_FALSE(patient.isWorthAsking(beat, own));
    own.proofAge = 5100ms;
    CHECK(patient.isWorthAsking(beat, own));
}
