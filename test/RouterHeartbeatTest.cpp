#include "Control/RouterHeartbeat.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// \returns a typical heartbeat of a router in a large fleet.
RouterHeartbeat usualHeartbeat()
{
    RouterHeartbeat out{.name = "front-kremikovtsi-hall-12",
                        .incarnation = 1'796'300'123'456,
                        .sequence = 48'211,
                        .callerAddress = "10.128.4.40:8227",
                        .peerAddress = "10.128.4.40:7340",
                        .failureDomain = "kremikovtsi-hall",
                        .processorShare = 0.12,
                        .ready = true,
                        .revision = 4'711,
                        .proofAge = 812ms,
                        .replicasAge = 644ms,
                        .replicasHash = 0x9E3779B97F4A7C15,
                        .replicasPosition = {.era = 3, .version = 190'211}};
    for (int i = 0; i < 4; ++i)
        out.replicas.counts.emplace(fmt::format("i-7f3a91c{}~1234{}", i, i), 1);
    return out;
}

} // namespace

// Guards against heartbeats that take more bandwidth than the requests of callers in a large fleet.
TEST_CASE("heartbeatCodec_usualHeartbeat_isPackedToLessThanHalf")
{
    const RouterHeartbeat heartbeat = usualHeartbeat();
    const std::string packed = HeartbeatCodec::pack(heartbeat);
    CHECK(2 * packed.size() < HeartbeatCodec::encode(heartbeat).size());
    HeartbeatCodec codec;
    const Result<RouterHeartbeat> read = codec.unpack(packed);
    REQUIRE(read);
    CHECK(HeartbeatCodec::encode(read.value()) == HeartbeatCodec::encode(heartbeat));
}

TEST_CASE("heartbeatCodec_malformedBytes_areRefused")
{
    HeartbeatCodec codec;
    const std::string packed = HeartbeatCodec::pack(usualHeartbeat());
    CHECK_FALSE(codec.unpack(""));
    CHECK_FALSE(codec.unpack("{}"));
    CHECK_FALSE(codec.unpack(packed.substr(0, packed.size() - 1)));
    CHECK_FALSE(codec.unpack(packed + "x"));
}

// Guards against requests that are sent to a router of an earlier release, which would answer them
// itself.
TEST_CASE("heartbeatCodec_senderDoesNotRelay_isNotTakenForOneThatDoes")
{
    HeartbeatCodec codec;
    RouterHeartbeat heartbeat = usualHeartbeat();
    CHECK_FALSE(codec.decode(HeartbeatCodec::encode(heartbeat)).value().relays);
    heartbeat.relays = true;
    CHECK(codec.decode(HeartbeatCodec::encode(heartbeat)).value().relays);
}

// Guards against relaying through a router that reports that it doesn't reach the service either.
TEST_CASE("heartbeatCodec_unreachableServices_arePassedOn")
{
    RouterHeartbeat heartbeat = usualHeartbeat();
    heartbeat.unreachableServices = {"calls", "streams"};
    HeartbeatCodec codec;
    const Result<RouterHeartbeat> read = codec.unpack(HeartbeatCodec::pack(heartbeat));
    REQUIRE(read);
    CHECK(read.value().unreachableServices == heartbeat.unreachableServices);
}

// Guards against a byte more in heartbeats while no service is brittle.
TEST_CASE("heartbeatCodec_noBrittleService_fieldIsAbsent")
{
    CHECK(HeartbeatCodec::encode(usualHeartbeat()).find("\"br\"") == std::string::npos);
}

TEST_CASE("heartbeatCodec_brittleServices_arePassedOn")
{
    RouterHeartbeat heartbeat = usualHeartbeat();
    heartbeat.brittle = {{.service = "billing", .maxRejections = 20, .age = 1234ms, .routers = 73}};
    HeartbeatCodec codec;
    const Result<RouterHeartbeat> read = codec.unpack(HeartbeatCodec::pack(heartbeat));
    REQUIRE(read);
    REQUIRE(read.value().brittle.size() == 1);
    CHECK(read.value().brittle[0].service == "billing");
    CHECK(read.value().brittle[0].maxRejections == 20);
    CHECK(read.value().brittle[0].age == 1234ms);
    CHECK(read.value().brittle[0].routers == 73);
}
