#include "Base/ManualClock.h"
#include "Decide/AdmissionQueue.h"

#include <doctest/doctest.h>

#include <map>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct AdmissionQueueFixture
{
    AdmissionQueueFixture()
    {
        YamlProblems problems;
        queue.setInventory(Inventory::parse(Text, "test", 1, problems));
        REQUIRE(problems.empty());
    }

    std::optional<std::pair<AdmissionQueue::Entry, Error>> push(const std::string &workspace,
                                                                double work = 100, int priority = 0)
    {
        const Job job{.id = ++lastId,
                      .workspace = workspace,
                      .chatKey = lastId,
                      .work = work,
                      .priority = priority,
                      .deadline = clock.now() + 60s,
                      .excluded = {}};
        return queue.push({.job = job, .decided = {}, .submittedAt = {}, .expiresAt = {}},
                          clock.now());
    }

    std::map<std::string, int> popMany(int n)
    {
        std::map<std::string, int> out;
        for (int i = 0; i < n && queue.front(); ++i)
            ++out[queue.pop().job.workspace];
        return out;
    }

    static constexpr const char *Text = R"(
places: [{name: d1, region: r}]
engines: [{name: e1, model: m, address: "127.0.0.1:1", failure_domain: d1}]
workspaces:
  - {name: large, key_sha256: "0000000000000000000000000000000000000000000000000000000000000001"}
  - {name: small, key_sha256: "0000000000000000000000000000000000000000000000000000000000000002"}
  - {name: heavy, weight: 3, key_sha256: "0000000000000000000000000000000000000000000000000000000000000003"}
  - {name: archive, protected: true, key_sha256: "0000000000000000000000000000000000000000000000000000000000000004"}
rules: {queue_length: 100}
)";

    ManualClock clock;
    AdmissionQueue queue;
    JobId lastId = 0;
};

} // namespace

TEST_CASE_FIXTURE(AdmissionQueueFixture,
                  "admissionQueue_surgeOfOneWorkspace_othersWaitForAtMostOneJob")
{
    for (int i = 0; i < 90; ++i)
        push("large");
    push("small");
    // The first job may still be one of the surge; the small workspace is next.
    CHECK(popMany(2)["small"] == 1);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "admissionQueue_weights_shareByWeight")
{
    for (int i = 0; i < 80; ++i) {
        push("small");
        push("heavy");
    }
    CHECK(popMany(40)["heavy"] == 30);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "admissionQueue_longAndShortWork_sharesByWorkNotByRequest")
{
    for (int i = 0; i < 90; ++i) {
        push("large", 1000);
        push("small", 100);
    }
    const auto popped = popMany(22);
    CHECK(popped.at("large") <= 3);
    CHECK(popped.at("small") >= 19);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "admissionQueue_protectedSurges_restIsNotStarved")
{
    for (int i = 0; i < 90; ++i) {
        push("archive");
        push("small");
    }
    const auto popped = popMany(50);
    CHECK(popped.at("archive") == 40);
    CHECK(popped.at("small") == 10);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "admissionQueue_priority_goesFirstWithinItsWorkspace")
{
    push("small");
    push("small", 100, 5);
    CHECK(queue.front()->job.id == 2);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "admissionQueue_workspaceFull_refusesWithRuleAndHint")
{
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(push("large"));
    const auto refused = push("large");
    REQUIRE(refused);
    CHECK(refused->first.job.id == 101);
    CHECK(refused->second.reason == Reason::QueueFull);
    CHECK(refused->second.rule == "rules.queue_length");
    CHECK(refused->second.retryAfter);
    CHECK_FALSE(push("small"));
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "admissionQueue_allFull_shedsUnprotectedOfLongestQueue")
{
    for (int w = 0; w < 7; ++w) {
        for (int i = 0; i < 100; ++i)
            push("unknown-" + std::to_string(w));
    }
    for (int i = 0; i < 100; ++i)
        push("archive");
    const auto shed = push("small");
    REQUIRE(shed);
    CHECK(shed->second.reason == Reason::ShedByRule);
    CHECK(shed->first.job.workspace.starts_with("unknown-"));
    CHECK(queue.lengthOf("archive") == 100);
    CHECK(queue.lengthOf("small") == 1);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "admissionQueue_sojournPassed_yieldsEveryJobOnce")
{
    for (int i = 0; i < 5; ++i)
        push(i % 2 == 0 ? "small" : "archive");
    CHECK_FALSE(queue.popExpired(clock.now() + 2s - 1ns));
    int expired = 0;
    while (queue.popExpired(clock.now() + 2s))
        ++expired;
    CHECK(expired == 5);
    CHECK(queue.empty());
    CHECK(queue.front() == nullptr);
}

TEST_CASE_FIXTURE(AdmissionQueueFixture, "admissionQueue_cancelled_isNeverServed")
{
    push("small");
    push("large");
    CHECK(queue.remove(1));
    CHECK_FALSE(queue.remove(1));
    CHECK(popMany(5) == std::map<std::string, int>{{"large", 1}});
}
