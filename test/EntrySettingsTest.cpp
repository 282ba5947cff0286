#include "Base/EntrySettings.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct EntrySettingsFixture
{
    EntrySettings settings{.name = "a", .callerAddress = "127.0.0.1:80", .repeatShare = 0.2};
    EntrySettings next = settings;
};

} // namespace

TEST_CASE_FIXTURE(EntrySettingsFixture, "entrySettings_nothingChanged_nothingIsTakenOver")
{
    const EntrySettings::Adjusted adjusted = settings.adjust(next);
    CHECK(adjusted.changed.empty());
    CHECK(adjusted.needsRestart.empty());
}

TEST_CASE_FIXTURE(EntrySettingsFixture, "entrySettings_limitsChanged_areInForceWithoutARestart")
{
    next.processorShare = 0.5;
    next.keyProofLimit = 7s;
    next.repeatSlack = 9;
    next.stopLimit = 4s;
    const EntrySettings::Adjusted adjusted = settings.adjust(next);
    CHECK(adjusted.changed
          == std::vector<std::string>{"processor_share", "key_proof.limit", "repeats.slack",
                                      "stop_limit"});
    CHECK(adjusted.needsRestart.empty());
    CHECK(settings.processorShare == 0.5);
    CHECK(settings.keyProofLimit == 7s);
    CHECK(settings.repeatSlack == 9);
    CHECK(settings.stopLimit == 4s);
}

TEST_CASE_FIXTURE(EntrySettingsFixture, "entrySettings_addressChanged_needsARestartAndStays")
{
    next.callerAddress = "127.0.0.1:81";
    next.maxConnections = 7;
    next.repeatShare = 0.1;
    const EntrySettings::Adjusted adjusted = settings.adjust(next);
    CHECK(adjusted.changed == std::vector<std::string>{"repeats.share"});
    CHECK(adjusted.needsRestart
          == std::vector<std::string>{"caller_address", "limits.max_connections"});
    CHECK(settings.callerAddress == "127.0.0.1:80");
    CHECK(settings.maxConnections == 3000);
}
