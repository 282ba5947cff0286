#include "Base/EntrySettings.h"
#include "Base/ManualClock.h"
#include "Decide/PromptAdmission.h"
#include "platform/ConfigDecoder.h"
#include "platform/EnginePrompts.h"
#include "platform/RequestCodec.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

constexpr const char *ConfigText = R"({"version":7,"routes":[
 {"name":"r1","host":"A.example","prefix":"/a/","kind":"streaming","timeout-ms":12000,
  "target-latency-ms":800,"priority":1,"service":"llm","max-attempts":2,"no-auth":false,
  "sticky":true,"stream-resume":true,"gap-aim-ms":400},
 {"name":"r2","host":"a.example","prefix":"/b/","kind":"idempotent","timeout-ms":1200.5,
  "traffic-split":[{"service":"x","weight":90},{"service":"y","weight":10}],"no-auth":true},
 {"name":"r3","host":"a.example","prefix":"/c/","kind":"something new","service":"x"}],
 "services":[{"name":"llm","max-connections":370,"engine":{"slots":64}},{"name":"x"}],
 "limits":{"header-timeout-ms":2500,"idle-timeout-ms":15000},
 "tenants":[{"name":"w","api-keys":["k1","k2"],"priority":1},{"name":"v","api-keys":[]}]})";

} // namespace

TEST_CASE("configDecoder_operatorsConfig_isDecodedCompletely")
{
    const Result<RouteConfigPtr> read = platform::decodeConfig(ConfigText);
    REQUIRE(read);
    const RouteConfig &it = *read.value();
    CHECK(it.revision == 7);
    REQUIRE(it.routes.size() == 3);
    CHECK(it.routes[0].host == "a.example");
    CHECK(it.routes[0].kind == CallKind::Streaming);
    CHECK(it.routes[0].resumable);
    CHECK(it.routes[0].needsKey);
    CHECK(it.routes[0].usesPromptCache);
    CHECK(it.routes[0].timeout == 12s);
    CHECK(it.routes[0].maxEventGap == 400ms);
    CHECK(it.routes[0].isIdempotent());
    CHECK(it.routes[1].targets.size() == 2);
    CHECK(it.routes[1].targets[1].weight == 10);
    CHECK_FALSE(it.routes[1].needsKey);
    CHECK(it.routes[1].maxAttempts == 1);
    CHECK(it.routes[2].kind == CallKind::NonIdempotent);
    CHECK(it.services[0].isEngine);
    CHECK_FALSE(it.services[1].isEngine);
    CHECK(it.idleTimeout == 15s);
    CHECK(it.headerTimeout == 2500ms);
    CHECK(it.workspaces[0].apiKeys.size() == 2);
    CHECK(it.workspaces[0].priority == 1);
    CHECK_FALSE(it.workspaces[1].priority);
    CHECK(it.sourceText == ConfigText);
}

// Guards against a target of zero, with which every answer of the route is late.
TEST_CASE("configDecoder_routeWithoutTargetLatency_keepsTheDefault")
{
    const Result<RouteConfigPtr> read = platform::decodeConfig(ConfigText);
    REQUIRE(read);
    CHECK(read.value()->routes[0].targetLatency == 800ms);
    CHECK(read.value()->routes[1].targetLatency == Route().targetLatency);
    CHECK(Route().targetLatency > 0s);
}

TEST_CASE("configDecoder_wrongTypesOrInvalidJson_isAnError")
{
    CHECK_FALSE(platform::decodeConfig("nothing"));
    CHECK_FALSE(platform::decodeConfig(R"({"version":{}})"));
    CHECK_FALSE(platform::decodeConfig(R"({"version":1,"routes":[{"name":[]}]})"));
}

TEST_CASE("requestCodec_headersOfACaller_areDecoded")
{
    const CallFacts it = platform::decodeRequest({{"x-request-id", "r1"},
                                                  {"X-Request-Deadline", "1500"},
                                                  {"Authorization", "Bearer secret"},
                                                  {"Last-Event-Id", "12"},
                                                  {"X-Token-Usage", "1460, 80"},
                                                  {"X-Prompt-Prefix", "5c1e:800, 91bd:410"}});
    CHECK(it.id == "r1");
    CHECK(it.callerTimeout == 1500ms);
    CHECK(it.key == "secret");
    CHECK(it.lastEventId == 12);
    CHECK(it.promptTokens == 1460);
    CHECK(it.maxOutputTokens == 80);
    REQUIRE(it.prompt.size() == 2);
    CHECK(it.prompt[0].id == 0x5c1e);
    CHECK(it.prompt[1].tokens == 410);
}

TEST_CASE("requestCodec_malformedHeaders_countAsMissing")
{
    const CallFacts it = platform::decodeRequest({{"X-Request-Deadline", "-5"},
                                                  {"Authorization", "Basic eA=="},
                                                  {"Last-Event-Id", "x"},
                                                  {"X-Prompt-Prefix", ",,zz:q,"}});
    CHECK_FALSE(it.callerTimeout);
    CHECK(it.key.empty());
    CHECK_FALSE(it.lastEventId);
    for (const PromptPart &part : it.prompt)
        CHECK(part.tokens == 0);
}

TEST_CASE("requestCodec_answers_showWhetherTheRequestRan")
{
    const HttpHead refused{.status = 503, .headers = {{"X-Not-Executed", "1"}}};
    CHECK(platform::decodeAnswer(refused).notExecuted);
    const HttpHead fine{.status = 200,
                        .headers = {{"X-Response-Signature", "s"},
                                    {"X-Request-Id", "r"},
                                    {"Connection", "close, X-Hop"},
                                    {"X-Hop", "1"},
                                    {"Keep-Alive", "timeout=5"},
                                    {"Content-Length", "2"}}};
    CHECK(platform::decodeAnswer(fine).isSigned);
    const HttpHeaders passed = platform::passedAnswerHeaders(fine);
    REQUIRE(passed.size() == 2);
    CHECK(passed[0].first == "X-Response-Signature");
}

TEST_CASE("entrySettings_completeFile_isRead")
{
    YamlProblems problems;
    const auto it = EntrySettings::parse(R"(name: "front-1"
failure_domain: "hall"
caller_address: "10.0.0.1:80"
readiness_address: "10.0.0.1:81"
directory_address: "10.0.0.1:82"
peer_address: "10.0.0.1:7340"
store_address: "10.0.0.9:90"
key_proof:
  required: true
  limit: 5000ms
repeats:
  share: 0.2
  slack: 58
  window: 10s
stop_limit: 8s
)",
                                         "f", problems);
    REQUIRE(it);
    CHECK(it->maxKeyProofAge == 5s);
    CHECK(it->fleetRetrySlack == 58);
    CHECK(it->stopTimeout == 8s);
    CHECK(it->metricsAddress.empty());
}

TEST_CASE("entrySettings_mistakes_areAllReported")
{
    YamlProblems problems;
    CHECK_FALSE(EntrySettings::parse("name: a\nfailure_domain: b\ncaller_address: nowhere\n"
                                     "unknown: 1\n",
                                     "f", problems));
    CHECK(problems.size() >= 4);
}

TEST_CASE("enginePrompts_listOfAnEngine_isDecodedAndMalformedOnesAreRefused")
{
    const auto read = platform::decodePromptList(
            R"({"epoch":1,"next":5,"held":[["","5c1e",800,"m"],["","91bd",410,"m"]]})");
    REQUIRE(read);
    REQUIRE(read.value().size() == 2);
    CHECK(read.value()[0].id == 0x5c1e);
    CHECK(read.value()[1].tokens == 410);
    CHECK_FALSE(platform::decodePromptList("no json"));
    CHECK_FALSE(platform::decodePromptList(R"({"held":[[1,{}]]})"));
}

TEST_CASE("requestCodec_loadOfAReplica_isDecodedIfComplete")
{
    const auto loadIn = [](const char *text) {
        return platform::decodeAnswer({.status = 200, .headers = {{"X-Server-Load", text}}}).load;
    };
    REQUIRE(loadIn("3,7,8"));
    CHECK(loadIn("3,7,8")->running == 3);
    CHECK(loadIn("3, 7, 8")->waiting == 7);
    REQUIRE(loadIn("3 ,7 , 8 ,250"));
    CHECK(loadIn("3 ,7 , 8 ,250")->pace == 2.5);
    CHECK(loadIn("3,7,8")->slots == 8);
    for (const char *it : {"", "3", "3,7", "3,7,0", "-1,0,8", "3,x,8", "99999999999,0,1"})
        CHECK_FALSE(loadIn(it));
}

// Guards against a priority that callers choose themselves, and one that engines never get.
TEST_CASE("requestCodec_priority_isTheRoutersOwn")
{
    EntryRequest request;
    request.headers = {{"X-Request-Priority", "0"}, {"X-Other", "kept"}};
    const ReplicaRecord replica{.id = "i-1"};
    const auto priorityIn = [&](std::optional<int> priority) {
        std::vector<std::string> out;
        for (const HttpHeader &it : platform::encodeRequest({.request = request,
                                    .replica = replica,
                                    .copyPromptFrom = {},
                                    .remaining = 1s,
                                    .lastEventId = {},
                                    .priority = priority})) {
            if (it.first == "X-Request-Priority")
                out.push_back(it.second);
        }
        return out;
    };
    CHECK(priorityIn(std::nullopt).empty());
    CHECK(priorityIn(2) == std::vector<std::string>{"2"});
}

// Guards against a timeout that overflows and counts as expired.
TEST_CASE("requestCodec_hugeTimeoutOfACaller_isLimited")
{
    const auto timeoutIn = [](const char *text) {
        return platform::decodeRequest({{"X-Request-Deadline", text}}).callerTimeout;
    };
    REQUIRE(timeoutIn("9223372036854775807"));
    CHECK(*timeoutIn("9223372036854775807") >= 1h);
    CHECK(timeoutIn("2500") == 2500ms);
}

// Guards against the loss of a whole load report because of figures that follow the first three.
TEST_CASE("requestCodec_loadOfAReplicaWithFurtherFigures_keepsTheFirstThree")
{
    const auto loadIn = [](const char *text) {
        return platform::decodeAnswer({.status = 200, .headers = {{"X-Server-Load", text}}}).load;
    };
    for (const char *it :
         {"3,7,8,250", "3, 7, 8, 250", "3,7,8,100", "3,7,8,", "3,7,8,x", "3,7,8,-5", "3,7,8,0",
          "3,7,8,nan", "3,7,8,inf", "3,7,8,9e99", "3,7,8,250,4", "3,7,8,250,", "3,7,8,250,x,y"}) {
        CAPTURE(it);
        const auto load = loadIn(it);
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->waiting == 7);
        CHECK(load->slots == 8);
    }
    CHECK(loadIn("3,7,8")->pace == 1);
    CHECK(loadIn("3,7,8,250")->pace == 2.5);
    CHECK(loadIn("3,7,8,250,4")->pace == 2.5);
    CHECK(loadIn("3,7,8,100")->pace == 1);
    for (const char *it : {"3,7,8,", "3,7,8,x", "3,7,8,-5", "3,7,8,0", "3,7,8,nan", "3,7,8,9e99"})
        CHECK(loadIn(it)->pace == 1);
}

// Guards against a report of very large figures that overflows and makes a replica seem idle.
TEST_CASE("requestCodec_loadOfAReplicaWithLargeFigures_isAHighLoad")
{
    const auto load =
            platform::decodeAnswer(
                    {.status = 200, .headers = {{"X-Server-Load", "2147483647,2147483647,1"}}})
                    .load;
    REQUIRE(load);
    CHECK(load->occupancy() > 1);
    ManualClock clock;
    PromptAdmission prompts({.clock = clock, .random = seededRandom(1)});
    prompts.loadReported(*load);
    CHECK(prompts.occupancy() > 1);
}

TEST_CASE("platformCodec_answerOfAReplica_showsLeavingAndPause")
{
    const auto pause = [](int status, const std::string &text) {
        return platform::decodeAnswer({.status = status, .headers = {{"Retry-After", text}}}).pause;
    };
    CHECK(pause(503, "4") == Duration(4s));
    CHECK(pause(503, "0.25") == Duration(250ms));
    CHECK(pause(429, "1") == Duration(1s));
    CHECK(pause(503, "100000") == Duration(1h));
    for (const char *it : {"", "-1", "0", "nan", "4 s", "Thu, 03 Dec 2026 10:00:00 GMT"})
        CHECK_FALSE(pause(503, it));
    CHECK_FALSE(pause(200, "4"));
    const auto leaving = [](const std::string &text) {
        return platform::decodeAnswer({.status = 421, .headers = {{"server-leaving", text}}})
                .isLeaving;
    };
    CHECK(leaving("1"));
    CHECK_FALSE(leaving("0"));
    CHECK_FALSE(platform::decodeAnswer({.status = 200, .headers = {}}).isLeaving);
}

TEST_CASE("requestCodec_brittleHeader_isDecodedInEveryAnswer")
{
    for (const int status : {200, 500, 503, 404}) {
        const auto it =
                platform::decodeAnswer({.status = status, .headers = {{"server-brittle", "20"}}});
        CHECK(it.maxRejections == 20);
        CHECK_FALSE(it.isMaxRejectionsMalformed);
    }
    const auto without = platform::decodeAnswer({.status = 200});
    CHECK_FALSE(without.maxRejections);
    CHECK_FALSE(without.isMaxRejectionsMalformed);
}

// Guards against a limit that is taken from an unusable header.
TEST_CASE("requestCodec_unusableBrittleHeader_isReportedAndHasNoValue")
{
    for (const char *text : {"", "0", "-1", "x", "20x", "1.5", " 20 7", "1000001", "99999999999"}) {
        CAPTURE(text);
        const auto it =
                platform::decodeAnswer({.status = 200, .headers = {{"Server-Brittle", text}}});
        CHECK_FALSE(it.maxRejections);
        CHECK(it.isMaxRejectionsMalformed);
    }
    const auto twice = platform::decodeAnswer(
            {.status = 200, .headers = {{"Server-Brittle", "20"}, {"Server-Brittle", "20"}}});
    CHECK_FALSE(twice.maxRejections);
    CHECK(twice.isMaxRejectionsMalformed);
}
