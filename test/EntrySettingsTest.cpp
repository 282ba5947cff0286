#include "Base/EntrySettings.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct EntrySettingsFixture
{
    EntrySettings settings{.name = "a", .callerAddress = "127.0.0.1:80", .fleetRetryShare = 0.2};
    EntrySettings next = settings;
};

} // namespace

TEST_CASE_FIXTURE(EntrySettingsFixture, "entrySettings_sameSettings_changesNothing")
{
    const EntrySettings::UpdateResult result = settings.updateFrom(next);
    CHECK(result.changed.empty());
    CHECK(result.needsRestart.empty());
}

TEST_CASE_FIXTURE(EntrySettingsFixture, "entrySettings_limitsChanged_applyWithoutRestart")
{
    next.processorShare = 0.5;
    next.maxKeyProofAge = 7s;
    next.fleetRetrySlack = 9;
    next.stopTimeout = 4s;
    const EntrySettings::UpdateResult result = settings.updateFrom(next);
    CHECK(result.changed
          == std::vector<std::string>{"processor_share", "key_proof.limit", "repeats.slack",
                                      "stop_limit"});
    CHECK(result.needsRestart.empty());
    CHECK(settings.processorShare == 0.5);
    CHECK(settings.maxKeyProofAge == 7s);
    CHECK(settings.fleetRetrySlack == 9);
    CHECK(settings.stopTimeout == 4s);
}

TEST_CASE_FIXTURE(EntrySettingsFixture, "entrySettings_addressChanged_needsRestartAndKeepsOldValue")
{
    next.callerAddress = "127.0.0.1:81";
    next.maxConnections = 7;
    next.fleetRetryShare = 0.1;
    const EntrySettings::UpdateResult result = settings.updateFrom(next);
    CHECK(result.changed == std::vector<std::string>{"repeats.share"});
    CHECK(result.needsRestart
          == std::vector<std::string>{"caller_address", "limits.max_connections"});
    CHECK(settings.callerAddress == "127.0.0.1:80");
    CHECK(settings.maxConnections == 3000);
}

TEST_CASE_FIXTURE(EntrySettingsFixture, "entrySettings_oneMechanismDisabled_othersStayEnabled")
{
    YamlProblems problems;
    const auto read = EntrySettings::parse("name: a\n"
                                           "failure_domain: d\n"
                                           "caller_address: 127.0.0.1:80\n"
                                           "peer_address: 127.0.0.1:81\n"
                                           "store_address: 127.0.0.1:82\n"
                                           "mechanisms:\n"
                                           "  load_shedding: false\n",
                                           "test.yaml", problems);
    REQUIRE(problems.empty());
    REQUIRE(read);
    CHECK(read->mechanisms == Mechanisms{.loadShedding = false});
    CHECK(settings.updateFrom(*read).needsRestart.size() > 1);
}

TEST_CASE_FIXTURE(EntrySettingsFixture, "entrySettings_expectedTimePlacementDisabled_isRead")
{
    YamlProblems problems;
    const auto read = EntrySettings::parse("name: a\n"
                                           "failure_domain: d\n"
                                           "caller_address: 127.0.0.1:80\n"
                                           "peer_address: 127.0.0.1:81\n"
                                           "store_address: 127.0.0.1:82\n"
                                           "mechanisms:\n"
                                           "  expected_time_placement: false\n",
                                           "test.yaml", problems);
    REQUIRE(problems.empty());
    REQUIRE(read);
    CHECK(read->mechanisms == Mechanisms{.expectedTimePlacement = false});
    CHECK(settings.mechanisms.expectedTimePlacement);
}

TEST_CASE_FIXTURE(EntrySettingsFixture, "entrySettings_brittleServicesDisabled_isRead")
{
    YamlProblems problems;
    const auto read = EntrySettings::parse("name: a\n"
                                           "failure_domain: d\n"
                                           "caller_address: 127.0.0.1:80\n"
                                           "peer_address: 127.0.0.1:81\n"
                                           "store_address: 127.0.0.1:82\n"
                                           "mechanisms:\n"
                                           "  brittle_services: false\n",
                                           "test.yaml", problems);
    REQUIRE(problems.empty());
    REQUIRE(read);
    CHECK(read->mechanisms == Mechanisms{.brittleServices = false});
}

TEST_CASE_FIXTURE(EntrySettingsFixture, "entrySettings_unknownMechanism_reportsProblem")
{
    YamlProblems problems;
    CHECK_FALSE(EntrySettings::parse("name: a\n"
                                     "failure_domain: d\n"
                                     "caller_address: 127.0.0.1:80\n"
                                     "peer_address: 127.0.0.1:81\n"
                                     "store_address: 127.0.0.1:82\n"
                                     "mechanisms:\n"
                                     "  magic: true\n",
                                     "test.yaml", problems));
    CHECK(problems.size() == 1);
}

TEST_CASE("entrySettings_memoryOfVmIsGiven_limitsRequests")
{
    YamlProblems problems;
    const std::string base = "name: a\n"
                             "failure_domain: d\n"
                             "caller_address: 127.0.0.1:80\n"
                             "peer_address: 127.0.0.1:81\n"
                             "store_address: 127.0.0.1:82\n";
    const auto parse = [&](const std::string &text) {
        const auto out = EntrySettings::parse(base + text, "test.yaml", problems);
        REQUIRE(out);
        return *out;
    };
    constexpr std::size_t MebiByte = 1024 * 1024;
    CHECK(parse("vm:\n").requestMemory() == 96 * MebiByte);
    CHECK(parse("vm:\n").callerConnections(1e6) == 3000);
    CHECK(parse("vm:\n").callerConnections(1000) == 500);
    const EntrySettings vm = parse("vm: {memory_mb: 260, descriptors: 4100}\n");
    CHECK(vm.requestMemory() == 97'500'000);
    CHECK(vm.callerConnections(1e6) == 2050);
    CHECK(parse("vm: {memory_mb: 100}\n").requestMemory() == 48 * MebiByte);
    CHECK(parse("limits: {max_connections: 20}\nvm: {descriptors: 4100}\n").callerConnections(1e6)
          == 20);
    CHECK(parse("limits: {max_request_memory: 1000000}\nvm: {memory_mb: 260}\n").requestMemory()
          == 1'000'000);
    CHECK(problems.empty());
    CHECK_FALSE(EntrySettings::parse(base + "limits: {max_request_memory: 10}\n", "test.yaml",
                                     problems));
    CHECK(problems.size() == 1);
}
