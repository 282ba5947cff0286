#include "Net/StreamOriginTask.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// A router with three others, whose answers and silence the test determines.
struct StreamOriginTaskFixture
{
    using Answered = std::function<void(Result<HttpAnswer>)>;

    /// A router that has watched the service for long enough.
    static StreamOriginReport watcher(const std::set<std::string> &candidates, Duration listAge)
    {
        return {.candidates = candidates, .observedFor = 60s, .listAge = listAge};
    }

    void find()
    {
        task.find({.stream = "s", .services = {"svc"}, .window = 30s},
                  [this](std::optional<std::string> software) {
                      ++ends;
                      found = std::move(software);
                  });
    }

    void answer(const StreamOriginReport &report)
    {
        takeAsked()(HttpAnswer{.head = {.status = 200},
                               .body = StreamOriginCodec::encodeReport(report)});
    }

    /// The oldest question that is open gets no answer.
    void staySilent() { takeAsked()(Error{.reason = Reason::UpstreamTimeout}); }

    Answered takeAsked()
    {
        REQUIRE(!asked.empty());
        Answered out = std::move(asked.front());
        asked.erase(asked.begin());
        return out;
    }

    ManualClock clock;
    Metrics metrics;
    StreamOriginReport own = watcher({"svc v1"}, 1600ms);
    std::vector<Answered> asked;
    int ends = 0;
    std::optional<std::string> found;
    StreamOriginTask task{
            {.clock = clock,
             .metrics = metrics,
             .fetch = [this](const HttpCall &, Answered done) { asked.push_back(std::move(done)); },
             .ownReport = [this](const StreamOriginQuestion &) { return own; },
             .keepers =
                     [](std::string_view, std::size_t) {
                         return std::vector<std::string>{"a", "b", "c"};
                     },
             .sign = [](std::string_view) { return std::string(); },
             .verify = [](std::string_view, std::string_view) { return true; }}};
};

} // namespace

// Guards against a router that is cut off and takes its list of replicas, read before a new version
// was registered, for a proof of the version of a stream.
TEST_CASE_FIXTURE(StreamOriginTaskFixture, "streamOriginTask_noKeeperAnswers_oldListProvesNothing")
{
    find();
    for (int i = 0; i < 3; ++i) {
        clock.advance(50ms);
        staySilent();
    }
    clock.advance(3s);
    CHECK_FALSE(found);
}
