#include "Control/PeerState.h"
#include "Base/Compression.h"
#include "Control/ConfigTextCache.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// \returns a configuration of \a routes as an operator writes it.
std::string configText(int routes)
{
    std::string out = R"({"version":7,"routes":[)";
    for (int i = 0; i < routes; ++i)
        out += fmt::format(
                R"({}{{"name":"r-{:x}","host":"h{:x}.example","prefix":"/p{:x}/","kind":"streaming",)"
                R"("timeout-ms":12000,"target-latency-ms":800,"priority":0,"traffic-split":)"
                R"([{{"service":"a","weight":90}},{{"service":"b","weight":10}}],"max-attempts":2,)"
                R"("no-auth":false,"sticky":true,"stream-resume":true,"gap-aim-ms":500}})",
                i == 0 ? "" : ",", i * 2654435761U, i * 40503U, i * 2246822519U);
    return out + "]}";
}

struct PeerStateFixture
{
    PeerState state{.revision = 9,
                    .proofAge = 1500us,
                    .replicasAge = 40ms,
                    .replicasHash = 1ULL << 63,
                    .replicasPosition = {.era = 2, .version = 12},
                    .prompts = {{"i-1", {5, 1ULL << 63}}}};
};

} // namespace

TEST_CASE_FIXTURE(PeerStateFixture, "peerState_allFields_areDecoded")
{
    state.config = PeerState::Packed::of("config\nin lines");
    state.replicas = PeerState::Packed::of("replicas");
    const Result<PeerState> read = PeerState::decode(state.encode());
    REQUIRE(read);
    CHECK(read.value().revision == 9);
    CHECK(read.value().proofAge == 2ms); // Rounded up, so that a proof never appears younger.
    CHECK(read.value().replicasAge == 40ms);
    CHECK(read.value().replicasHash == 1ULL << 63);
    CHECK(read.value().replicasPosition == StorePosition{.era = 2, .version = 12});
    CHECK(read.value().prompts.at("i-1") == std::vector<std::uint64_t>{5, 1ULL << 63});
    CHECK(read.value().config->text().value() == "config\nin lines");
    CHECK(read.value().replicas->text().value() == "replicas");
}

TEST_CASE_FIXTURE(PeerStateFixture, "peerState_empty_isDecodedAsEmpty")
{
    const Result<PeerState> read = PeerState::decode(PeerState{}.encode());
    REQUIRE(read);
    CHECK(read.value().revision == 0);
    CHECK(read.value().proofAge == Duration::max());
    CHECK(read.value().replicasAge == Duration::max());
    CHECK_FALSE(read.value().config);
    CHECK_FALSE(read.value().replicas);
}

TEST_CASE_FIXTURE(PeerStateFixture, "peerState_largeConfiguration_isSmallOnTheWire")
{
    // The largest configuration of the users. Over a link of 10 Mbit/s, the compressed text arrives
    // within a tenth of a second, even while the VM relays streams; the plain text takes half a
    // second.
    const std::string text = configText(1450);
    REQUIRE(text.size() > 400'000);
    state.config = PeerState::Packed::of(text);
    CHECK(state.encode().size() < 125'000);
    CHECK(PeerState::decode(state.encode()).value().config->text().value() == text);
}

TEST_CASE_FIXTURE(PeerStateFixture, "peerState_malformedText_isRefused")
{
    state.config = PeerState::Packed::of(configText(20));
    const std::string whole = state.encode();
    CHECK_FALSE(PeerState::decode(""));
    CHECK_FALSE(PeerState::decode("no json\n"));
    CHECK_FALSE(PeerState::decode("{\"revision\":[]}\n"));
    CHECK_FALSE(PeerState::decode(whole.substr(0, whole.size() - 1)));
    CHECK_FALSE(PeerState::Packed{.bytes = "rubbish"}.text());
}

TEST_CASE_FIXTURE(PeerStateFixture, "peerState_evacuatedDomains_areDecodedWithTheirVersion")
{
    state.evacuated = {.position = {.era = 2, .version = 40}, .domains = {"d1", "d2"}};
    const Result<PeerState> read = PeerState::decode(state.encode());
    REQUIRE(read);
    CHECK(read.value().evacuated.position == StorePosition{.era = 2, .version = 40});
    CHECK(read.value().evacuated.domains == std::set<std::string>{"d1", "d2"});
}

// Guards against sending the full text to each of hundreds of routers at each small change.
TEST_CASE_FIXTURE(PeerStateFixture,
                  "configTexts_oneRouteOfManyChanged_routerWithThePreviousTextReceivesADelta")
{
    const std::string before = configText(1450);
    std::string after = before;
    after.replace(after.find("12000", after.size() / 2), 5, "9000");
    ConfigTextCache texts;
    texts.add(7, before);
    texts.add(9, after);
    texts.describe(7, state);
    CHECK(state.configBase == 7);
    CHECK(state.encode().size() < 800);
    const Result<PeerState> read = PeerState::decode(state.encode());
    REQUIRE(read);
    CHECK(ConfigTextCache::unpackText(read.value(), before).value() == after);
    CHECK_FALSE(ConfigTextCache::unpackText(read.value(), "{}"));
}

TEST_CASE_FIXTURE(PeerStateFixture, "configTexts_routerWithAnUnknownRevision_receivesTheFullText")
{
    ConfigTextCache texts;
    texts.describe(0, state);
    CHECK_FALSE(state.config);
    texts.add(7, "{\"a\":{}}");
    texts.add(9, "{\"a\":{\"b\":{}}}");
    texts.describe(3, state);
    CHECK(state.configBase == 0);
    CHECK(ConfigTextCache::unpackText(state, "").value() == "{\"a\":{\"b\":{}}}");
    PeerState newest;
    texts.describe(9, newest);
    CHECK_FALSE(newest.config);
}

TEST_CASE("configTexts_manyLargeTexts_storesABoundedAmount")
{
    ConfigTextCache texts;
    for (std::uint64_t revision = 1; revision <= 40; ++revision)
        texts.add(revision, std::string(600'000, static_cast<char>('a' + revision % 20)));
    PeerState state;
    texts.describe(1, state);
    CHECK(state.configBase == 0);
    texts.describe(39, state);
    CHECK(state.configBase == 39);
}

TEST_CASE("decompress_moreThanAllowed_isRefused")
{
    const std::string bytes = compress(std::string(1'000'000, 'a'));
    CHECK(bytes.size() < 10'000);
    CHECK(decompress(bytes, 1'000'000).value().size() == 1'000'000);
    CHECK_FALSE(decompress(bytes, 999'999));
    CHECK_FALSE(decompress(bytes.substr(0, bytes.size() - 2), 1'000'000));
    CHECK_FALSE(decompress(bytes + "x", 1'000'000));
    CHECK(decompress(compress(""), 10).value().empty());
}
