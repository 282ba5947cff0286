#include "Control/PromptSurvey.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// Routers that start together before engines that kept their prompts; a list reaches every router
/// that lives as soon as it is asked for.
struct PromptSurveyFixture
{
    explicit PromptSurveyFixture(int n = 9, int engineCount = 40)
    {
        for (int i = 0; i < n; ++i)
            addresses.push_back(fmt::format("10.0.0.{}:7340", i));
        for (int i = 0; i < engineCount; ++i)
            engines.push_back({.id = fmt::format("i-{}", i), .service = "llm"});
    }

    /// Starts the routers but the first \a dead, which are still registered.
    void start(std::size_t dead = 0)
    {
        for (std::size_t i = dead; i < addresses.size(); ++i) {
            routers.push_back(std::make_unique<PromptSurvey>(
                    PromptSurvey::Options{.clock = clock, .self = addresses[i]}));
            routers.back()->setRouters(addresses);
        }
    }

    /// Lets each router look once.
    void poll()
    {
        std::vector<std::string> answered;
        for (const auto &it : routers) {
            for (const ReplicaRecord &engine : it->due(engines)) {
                ++lists[engine.id];
                answered.push_back(engine.incarnation());
            }
        }
        for (const auto &it : routers) {
            for (const std::string &engine : answered)
                it->listed(engine);
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
    std::vector<std::string> addresses;
    std::vector<ReplicaRecord> engines;
    std::vector<std::unique_ptr<PromptSurvey>> routers;
    std::map<std::string, int> lists; ///< How often each engine was asked.
};

} // namespace

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptSurvey_allRoutersStart_eachEngineIsAskedOnceAtOnce")
{
    start();
    poll();
    CHECK(lists.size() == engines.size());
    for (int i = 0; i < 20; ++i) {
        clock.advance(50ms);
        poll();
    }
    CHECK(listCount() == static_cast<int>(engines.size()));
    CHECK(routers.front()->isOver());
}

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptSurvey_routersGoneForGood_nextOnesAskForThem")
{
    start(3);
    poll();
    CHECK(lists.size() < engines.size());
    for (int i = 0; i < 20; ++i) {
        clock.advance(50ms);
        poll();
    }
    // Of forty engines the first three of the order of one or two are all gone.
    CHECK(lists.size() >= engines.size() - 3);
    CHECK(listCount() == static_cast<int>(lists.size()));
}

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptSurvey_oneRouterReplaced_asksForItsShareOnly")
{
    start(8);
    routers.front()->peerKnows();
    for (int i = 0; i < 20; ++i) {
        poll();
        clock.advance(50ms);
    }
    CHECK(listCount() < 12);
}

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptSurvey_routersNotYetListed_waitsARound")
{
    PromptSurvey survey({.clock = clock, .self = addresses.front()});
    CHECK(survey.due(engines).empty());
    clock.advance(260ms);
    CHECK(survey.due(engines).size() == engines.size());
    CHECK(survey.due(engines).empty());
}

TEST_CASE_FIXTURE(PromptSurveyFixture, "promptSurvey_noEngines_neverBegins")
{
    PromptSurvey survey({.clock = clock, .self = addresses.front()});
    survey.setRouters(addresses);
    CHECK(survey.due({}).empty());
    clock.advance(10s);
    CHECK_FALSE(survey.isOver());
    CHECK(survey.due({}).empty());
}
