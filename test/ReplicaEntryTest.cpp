#include "platform/ReplicaEntry.h"
#include "Base/Json.h"
#include "Control/ReplicaUpdate.h"

#include <doctest/doctest.h>

#include <functional>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct ReplicaEntryFixture
{
    ReplicaEntryFixture()
    {
        entry["service"] = "llm";
        entry["address"] = "10.1.0.9:8080";
        entry["zone"] = "d1";
        entry["version"] = "v1";
        entry["slots"] = 64;
        entry["state"] = "ready";
        entry["cold-remaining-ms"] = 0;
        entry["sequence"] = 4;
    }

    Result<ReplicaRecord> decode(const std::string &id = "i-1") const
    {
        return platform::decodeReplicaEntry(id, printJson(entry));
    }

    /// \returns whether the entry is still valid if \a field has \a value.
    bool isUsable(const char *field, const Json::Value &value) const
    {
        Json::Value changed = entry;
        changed[field] = value;
        return platform::decodeReplicaEntry("i-1", printJson(changed)).has_value();
    }

    Json::Value entry{Json::objectValue};
};

} // namespace

TEST_CASE_FIXTURE(ReplicaEntryFixture, "replicaEntry_ofAReplica_isDecodedCompletely")
{
    entry["born"] = Json::Int64(1'700'000'001'234);
    entry["state"] = "draining";
    const Result<ReplicaRecord> it = decode();
    REQUIRE(it);
    CHECK(it.value().id == "i-1");
    CHECK(it.value().service == "llm");
    CHECK(it.value().address == "10.1.0.9:8080");
    CHECK(it.value().failureDomain == "d1");
    CHECK(it.value().slots == 64);
    CHECK(it.value().draining);
    CHECK(it.value().startedAt == 1'700'000'001'234);
    CHECK(it.value().incarnation() == "i-1~1234");
}

TEST_CASE_FIXTURE(ReplicaEntryFixture, "replicaEntry_withoutAStartTime_isIdentifiedByItsId")
{
    const Result<ReplicaRecord> it = decode();
    REQUIRE(it);
    CHECK_FALSE(it.value().draining);
    CHECK(it.value().incarnation() == "i-1");
}

TEST_CASE_FIXTURE(ReplicaEntryFixture, "replicaEntry_missingField_isRefused")
{
    for (const std::string &field : entry.getMemberNames()) {
        CAPTURE(field);
        Json::Value less = entry;
        less.removeMember(field);
        CHECK_FALSE(platform::decodeReplicaEntry("i-1", printJson(less)));
    }
}

TEST_CASE_FIXTURE(ReplicaEntryFixture, "replicaEntry_fieldOfAnotherType_isRefused")
{
    for (const std::string &field : entry.getMemberNames()) {
        CAPTURE(field);
        CHECK_FALSE(isUsable(field.c_str(), Json::Value(Json::nullValue)));
        CHECK_FALSE(isUsable(field.c_str(), Json::Value(Json::arrayValue)));
        CHECK_FALSE(isUsable(field.c_str(),
                             entry[field].isString() ? Json::Value(7) : Json::Value("seven")));
    }
    for (const Json::Value &it : {Json::Value("1700000001234"), Json::Value(1700000001234.5),
                                  Json::Value(-1), Json::Value(true), Json::Value()})
        CHECK_FALSE(isUsable("born", it));
}

TEST_CASE_FIXTURE(ReplicaEntryFixture, "replicaEntry_valueOutOfRange_isRefused")
{
    CHECK_FALSE(isUsable("state", "resting"));
    CHECK_FALSE(isUsable("state", ""));
    CHECK_FALSE(isUsable("service", ""));
    CHECK_FALSE(isUsable("address", "10.1.0.9"));
    CHECK_FALSE(isUsable("address", "somewhere:80"));
    CHECK_FALSE(isUsable("slots", 0));
    CHECK_FALSE(decode(""));
    CHECK_FALSE(decode("i-1\r\nX-Other: 1"));
}

TEST_CASE("replicaEntry_invalidJson_isRefused")
{
    for (const char *it : {"", "{", "[]", "7", "\xff\xfe\x01", "null", "{\"service\":"})
        CHECK_FALSE(platform::decodeReplicaEntry("i-1", it));
    CHECK_FALSE(platform::decodeReplicaEntry("i-1", std::string(100'000, '[')));
}

TEST_CASE_FIXTURE(ReplicaEntryFixture, "replicaEntry_announcedToARouter_isDecodedUnchanged")
{
    entry["born"] = Json::Int64(1'700'000'001'234);
    entry["cold-remaining-ms"] = 2500.5;
    const ReplicaRecord sent = decode().value();
    const Result<ReplicaUpdate> decoded = ReplicaUpdate::decode(ReplicaUpdate{
            .base = 7,
            .position = {.era = 2, .version = 9},
            .removed = {"i-2"},
            .replicas = {sent}}.encode());
    REQUIRE(decoded);
    CHECK(decoded.value().base == 7);
    CHECK(decoded.value().position == StorePosition{.era = 2, .version = 9});
    CHECK(decoded.value().removed == std::vector<std::string>{"i-2"});
    REQUIRE(decoded.value().replicas.size() == 1);
    const ReplicaRecord &read = decoded.value().replicas.front();
    CHECK(sent.coldDuration == 2500500us);
    CHECK(read.coldDuration
          == 2501ms); // Rounded up, so that a replica never counts as warm too early.
    CHECK(read.incarnation() == sent.incarnation());
    CHECK(read.startedAt == sent.startedAt);
    CHECK(read.address == sent.address);
    CHECK(read.failureDomain == sent.failureDomain);
    CHECK(read.slots == sent.slots);
    CHECK(read.draining == sent.draining);
}
