#include "Control/PromptDiscovery.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// Routers that start together while engines have prompts cached. A list reaches every running
/// router as soon as it is requested.
struct PromptSurveyFixture
{
    explicit PromptSurveyFixture(int n = 9, int engineCount = 40)
    {
        for (int i = 0; i < n; ++i)
            registered.push_back({.name = fmt::format("r{}", i),
                                  .peerAddress = fmt::format("10.0.{}.{}:7340", i / 250, i % 250)});
        for (int i = 0; i < engineCount; ++i)
            engines.push_back({.id = fmt::format("i-{}", i), .service = "llm"});
    }

    /// Starts all routers except the first \a dead, which are still registered.
    void start(std::size_t dead = 0)
    {
        for (std::size_t i = dead; i < registered.size(); ++i) {
            add(i);
            routers.back()->setRouters(others(i));
        }
    }

    void add(std::size_t i)
    {
        routers.push_back(std::make_unique<PromptDiscovery>(
                PromptDiscovery::Options{.clock = clock, .self = registered[i].peerAddress}));
        byAddress[registered[i].peerAddress] = routers.back().get();
    }

    std::vector<RegisteredRouter> others(std::size_t self) const
    {
        std::vector<RegisteredRouter> out = registered;
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(self));
        return out;
    }

    /// Polls each router once.
    void poll()
    {
        std::vector<std::pair<std::string, std::string>>
                announced; // Engine and address of the router.
        for (const auto &it : routers) {
            for (const ReplicaRecord &engine : it->due(engines)) {
                ++lists[engine.id];
                it->discovered(engine.incarnation());
                for (const std::string &address : it->receiversFor(engine.incarnation()))
                    announced.emplace_back(engine.incarnation(), address);
            }
        }
        for (const auto &[engine, address] : announced) {
            const auto router = byAddress.find(address);
            if (router != byAddress.end())
                router->second->discovered(engine);
        }
    }

    int listCount() const
    {
        int n = 0;
        for (const auto &[engine, count] : lists)
            n += count;
        return n;
    }

    ManualClock clock;
    std::vector<RegisteredRouter> registered;
    std::vector<ReplicaRecord> engines;
    std::vector<std::unique_ptr<PromptDiscovery>> routers;
    std::map<std::string, PromptDiscovery *> byAddress;
    std::map<std::string, int> lists; ///< How often each engine was asked.
};

} // namespace

TEST_CASE_FIXTURE(PromptSurveyFixture,
                  "promptDiscovery_allRoutersStart_eachEngineIsAskedOnceImmediately")
{
    start();
    poll();
    CHECK(lists.size() == engines.size());
    for (int i = 0; i < 20; ++i) {
        clock.advance(50ms);
        poll();
    }
    CHECK(listCount() == static_cast<int>(engines.size()));
    CHECK(routers.front()->isFinished());
}

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptDiscovery_routersGoneForGood_nextOnesAskInstead")
{
    start(3);
    poll();
    CHECK(lists.size() < engines.size());
    for (int i = 0; i < 20; ++i) {
        clock.advance(50ms);
        poll();
    }
    // For one or two of the forty engines, the first three routers of the order are all gone.
    CHECK(lists.size() >= engines.size() - 3);
    CHECK(listCount() == static_cast<int>(lists.size()));
}

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptDiscovery_oneRouterReplaced_asksOnlyItsShare")
{
    start(8);
    routers.front()->peerStateReceived();
    for (int i = 0; i < 20; ++i) {
        poll();
        clock.advance(50ms);
    }
    CHECK(listCount() < 12);
}

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptDiscovery_otherRoutersNotKnown_asksNoEngine")
{
    PromptDiscovery discovery({.clock = clock, .self = registered.front().peerAddress});
    for (int i = 0; i < 40; ++i) {
        CHECK(discovery.due(engines).empty());
        clock.advance(50ms);
    }
    discovery.setRouters(others(0));
    const std::size_t share = discovery.due(engines).size();
    CHECK(share > 0);
    CHECK(share < engines.size() / 3);
    CHECK(discovery.due(engines).empty());
}

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptDiscovery_onlyRouter_asksAllEngines")
{
    PromptDiscovery discovery({.clock = clock, .self = registered.front().peerAddress});
    discovery.setRouters({});
    CHECK(discovery.due(engines).size() == engines.size());
}

TEST_CASE("promptDiscovery_hundredsOfRoutersKnowTheOthersAtDifferentTimes_"
          "enginesAreAskedAtMostTwiceOnAverage")
{
    PromptSurveyFixture it(295, 60);
    // The store answers the routers one after the other, for longer than all rounds of the first
    // ones.
    for (std::size_t i = 0; i < it.registered.size(); ++i)
        it.add(i);
    for (std::size_t i = 0; i < it.registered.size(); ++i) {
        it.routers[i]->setRouters(it.others(i));
        if (i % 20 == 0)
            it.poll();
        it.clock.advance(5ms);
    }
    for (int i = 0; i < 10; ++i) {
        it.poll();
        it.clock.advance(100ms);
    }
    CHECK(it.routers.front()->receiversFor("i-0").size() == 78);
    CHECK(it.lists.size() == it.engines.size());
    CHECK(it.listCount() <= 2 * static_cast<int>(it.engines.size()));
}

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptDiscovery_manyEngines_announcesTheLargestParts")
{
    const PromptDiscovery discovery({.clock = clock, .self = "a:2", .maxAnnouncedParts = 100});
    const std::vector<PromptPart> cached{{1, 10}, {2, 800}, {3, 30}, {4, 900}};
    CHECK(discovery.partsToAnnounce(cached, 50) == std::vector<std::uint64_t>{4, 2});
    CHECK(discovery.partsToAnnounce(cached, 2) == std::vector<std::uint64_t>{4, 2, 3, 1});
}

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptDiscovery_noEngines_neverStarts")
{
    PromptDiscovery discovery({.clock = clock, .self = registered.front().peerAddress});
    discovery.setRouters(others(0));
    CHECK(discovery.due({}).empty());
    clock.advance(10s);
    CHECK_FALSE(discovery.isFinished());
    CHECK(discovery.due({}).empty());
}
