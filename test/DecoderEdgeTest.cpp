#include "Base/Json.h"
#include "Control/ConfigRecords.h"
#include "Control/ConfigTextCache.h"
#include "Control/LeaseManager.h"
#include "Control/PeerCodec.h"
#include "Control/PeerState.h"
#include "Control/QuarantineRow.h"
#include "Control/RegisteredRouter.h"
#include "Control/ReplicaUpdate.h"
#include "Control/RouterHeartbeat.h"
#include "Control/StreamOriginCodec.h"
#include "Request/ClaimRow.h"
#include "platform/ConfigDecoder.h"
#include "platform/EnginePrompts.h"
#include "platform/ReplicaEntry.h"

#include <doctest/doctest.h>

#include <functional>
#include <limits>
#include <string>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// A message or row that a decoder reads, as its encoder writes it.
struct DecoderCase
{
    std::string name;
    Json::Value valid;
    /// Decodes \a text, whatever it holds.
    std::function<void(const std::string &text)> decode;
};

/// \returns values at the edges of the number types, of every other type, and nested ones.
std::vector<Json::Value> edgeValues()
{
    std::vector<Json::Value> out = {Json::Value(),
                                    Json::Value(true),
                                    Json::Value(""),
                                    Json::Value("9223372036854775808"),
                                    Json::Value(Json::arrayValue),
                                    Json::Value(Json::objectValue),
                                    Json::Value(-1),
                                    Json::Value(0.5),
                                    Json::Value(1e18),
                                    Json::Value(1e19),
                                    Json::Value(1e30),
                                    Json::Value(-1e30),
                                    Json::Value(std::numeric_limits<double>::max()),
                                    Json::Value(9223372036854775808.0)};
    for (const Json::Int64 it :
         {Json::Int64(std::numeric_limits<std::int32_t>::min()),
          Json::Int64(std::numeric_limits<std::int32_t>::max()),
          Json::Int64(std::numeric_limits<std::int32_t>::max()) + 1,
          Json::Int64(std::numeric_limits<std::uint32_t>::max()),
          Json::Int64(std::numeric_limits<std::uint32_t>::max()) + 1,
          std::numeric_limits<Json::Int64>::min(), std::numeric_limits<Json::Int64>::max()})
        out.emplace_back(it);
    out.emplace_back(Json::UInt64(1) << 63);
    out.emplace_back(std::numeric_limits<Json::UInt64>::max());
    Json::Value nested(Json::arrayValue);
    for (int i = 0; i < 100; ++i) {
        Json::Value outer(Json::arrayValue);
        outer.append(nested);
        nested = outer;
    }
    out.push_back(nested);
    return out;
}

/// Calls \a use with \a root once for each value in it replaced by each edge value.
void forEachReplacement(Json::Value &root, Json::Value &at,
                        const std::function<void(const Json::Value &)> &use)
{
    static const std::vector<Json::Value> edges = edgeValues();
    const Json::Value before = at;
    for (const Json::Value &it : edges) {
        at = it;
        use(root);
    }
    at = before;
    if (at.isObject() || at.isArray()) {
        for (Json::Value &it : at)
            forEachReplacement(root, it, use);
    }
}

Json::Value parsed(const std::string &text)
{
    const Result<Json::Value> out = parseJsonObject(text);
    REQUIRE(out);
    return out.value();
}

CrashUpdate crashUpdate()
{
    return {.fingerprint = "f",
            .clearedAge = 1s,
            .replicaCrashes = {{.replica = "i-1", .software = "svc v1", .age = 2s},
                               {.replica = "i-2", .age = 3s, .isConfirmed = false}},
            .isHeld = true};
}

ReplicaRecord replicaRecord()
{
    return {.id = "i-1",
            .service = "svc",
            .address = "10.0.0.1:80",
            .failureDomain = "d",
            .version = "v1",
            .slots = 4,
            .draining = true,
            .sequence = 7,
            .startedAt = 1'700'000'000'000,
            .coldDuration = 3s};
}

/// Uses what depends on the numbers of a decoded row, so that sanitizers see an overflow.
void useRow(const std::optional<QuarantineRow> &row)
{
    if (row)
        (void)row->toUpdate(WallTime(1'700'000'000'000ms));
}

std::vector<DecoderCase> rowCases()
{
    std::vector<DecoderCase> out;
    out.push_back({"replica entry",
                   parsed(R"({"service":"svc","address":"10.0.0.1:80","zone":"d","version":"v1",)"
                          R"("slots":4,"state":"ready","cold-remaining-ms":100,"sequence":7,)"
                          R"("born":1700000000000})"),
                   [](const std::string &it) { (void)platform::decodeReplicaEntry("i-1", it); }});
    out.push_back({"row of a router",
                   parsed(RegisteredRouter{.name = "r",
                                           .callerAddress = "10.0.0.1:80",
                                           .peerAddress = "10.0.0.1:81",
                                           .processorShare = 1}
                                  .encode()),
                   [](const std::string &it) { (void)RegisteredRouter::decode("r", it); }});
    out.push_back({"row of a held request",
                   parsed(QuarantineRow::of(crashUpdate(), WallTime(1'700'000'000'000ms)).encode()),
                   [](const std::string &it) { useRow(QuarantineRow::decode("f", it)); }});
    out.push_back(
            {"configuration",
             parsed(R"({"version":3,"routes":[{"name":"a","host":"h","prefix":"/a/",)"
                    R"("kind":"idempotent","service":"svc","timeout-ms":4000,"gap-aim-ms":400,)"
                    R"("target-latency-ms":500,"priority":1,"max-attempts":2,"no-auth":false,)"
                    R"("stream-resume":false,"allowed-regions":["r"],)"
                    R"("traffic-split":[{"service":"svc","weight":1}]}],)"
                    R"("services":[{"name":"svc","max-connections":300,"cold-per-s":20}],)"
                    R"("tenants":[{"name":"t","api-keys":["k"],"priority":2}],)"
                    R"("limits":{"header-timeout-ms":5000,"idle-timeout-ms":15000}})"),
             [](const std::string &it) { (void)platform::decodeConfig(it); }});
    out.push_back({"record of a configuration",
                   parsed(config_rows::encode({.digest = {.revision = 3, .hash = 4},
                                               .object = "o",
                                               .changeId = "c",
                                               .author = "a",
                                               .acceptedAt = 5})),
                   [](const std::string &it) { (void)config_rows::decode(it); }});
    out.push_back({"lease",
                   parsed(Lease{.holder = "r", .fence = 2, .attempt = 3, .duration = 4s}.encode()),
                   [](const std::string &it) { (void)Lease::decode(it); }});
    ClaimRow claim;
    claim.state = ClaimRow::State::Done;
    claim.answer = {.status = 200, .contentType = "text/plain", .body = "b"};
    out.push_back({"claim", parsed(claim.encode()),
                   [](const std::string &it) { (void)ClaimRow::decode(it); }});
    return out;
}

std::vector<DecoderCase> messageCases()
{
    std::vector<DecoderCase> out;
    RouterHeartbeat heartbeat{.name = "r",
                              .incarnation = 1,
                              .proofAge = 1s,
                              .replicasAge = 1s,
                              .replicasPosition = {.era = 2, .version = 3},
                              .discovered = {"i-1"},
                              .relays = true,
                              .unreachableServices = {"svc"},
                              .crashes = {crashUpdate()},
                              .brittle = {{.service = "svc", .maxRejections = 3}}};
    heartbeat.replicas.counts["i-1"] = 2;
    heartbeat.replicas.ejected = {"i-2"};
    heartbeat.prompts["i-1"] = {1, 2};
    heartbeat.evacuated = {.position = {.era = 1, .version = 2}, .domains = {"d"}};
    out.push_back({"heartbeat", parsed(HeartbeatCodec::encode(heartbeat)),
                   [](const std::string &it) { (void)HeartbeatCodec().decode(it); }});
    out.push_back({"message of a router",
                   parsed(PeerCodec::encode({.from = "r",
                                             .incarnation = 1,
                                             .sequence = 2,
                                             .digest = {.revision = 3, .hash = 4},
                                             .updates = {{.name = "m"}},
                                             .delta = {{.at = 1, .removed = 2, .inserted = "t"}}})),
                   [](const std::string &it) { (void)PeerCodec().decode(it); }});
    out.push_back({"replicas",
                   parsed(ReplicaUpdate{.base = 1,
                                        .position = {.era = 1, .version = 2},
                                        .removed = {"i-2"},
                                        .replicas = {replicaRecord()}}
                                  .encode()),
                   [](const std::string &it) { (void)ReplicaUpdate::decode(it); }});
    PeerState state{.revision = 1, .proofAge = 1s, .replicasAge = 1s, .replicasHash = 2};
    state.evacuated.domains = {"d"};
    state.prompts["i-1"] = {3};
    state.config = PeerState::Packed{.bytes = "xy"};
    std::string head = state.encode();
    head.resize(head.find('\n'));
    out.push_back({"state of a router", parsed(head),
                   [](const std::string &it) { (void)PeerState::decode(it + "\nxy"); }});
    const std::string origins = StreamOriginCodec::encodeOrigins(
            {{{.stream = "s", .software = "svc v1", .lifetime = 3s}}});
    const std::string prefix = origins.substr(0, origins.find('{'));
    out.push_back({"origins of streams", parsed(origins.substr(prefix.size())),
                   [prefix](const std::string &it) {
                       (void)StreamOriginCodec::decodeOrigins(prefix + it);
                   }});
    out.push_back({"question about a stream",
                   parsed(StreamOriginCodec::encodeQuestion(
                           {.stream = "s", .services = {"svc"}, .window = 3s})),
                   [](const std::string &it) { (void)StreamOriginCodec::decodeQuestion(it); }});
    out.push_back({"report about a stream",
                   parsed(StreamOriginCodec::encodeReport({.software = "svc v1",
                                                           .candidates = {"svc v1"},
                                                           .observedFor = 3s,
                                                           .listAge = 1s})),
                   [](const std::string &it) { (void)StreamOriginCodec::decodeReport(it); }});
    out.push_back({"list of prompts", parsed(R"({"epoch":1,"next":2,"held":[["","a1",10,"m"]]})"),
                   [](const std::string &it) { (void)platform::decodePromptList(it); }});
    return out;
}

} // namespace

// Guards against a process that ends because a row or a message has a number that is valid JSON but
// doesn't fit into the type that it is read as, or a value of another type.
TEST_CASE("decoder_valueIsAtTheEdgeOfItsType_isReadOrRefused")
{
    std::vector<DecoderCase> cases = rowCases();
    for (DecoderCase &it : messageCases())
        cases.push_back(std::move(it));
    for (DecoderCase &it : cases) {
        INFO(it.name);
        int failures = 0;
        forEachReplacement(it.valid, it.valid, [&](const Json::Value &changed) {
            const std::string text = printJson(changed);
            try {
                it.decode(text);
            } catch (const std::exception &e) {
                if (++failures == 1)
                    FAIL_CHECK(text, ": ", std::string(e.what()));
            }
        });
        CHECK(failures == 0);
    }
}
