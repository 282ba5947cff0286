#include "Decide/RequestBuffers.h"
#include "Base/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t KibiByte = 1024;
constexpr std::size_t MebiByte = 1024 * KibiByte;

struct RequestBuffersFixture
{
    static constexpr std::size_t Limit = 96 * MebiByte;

    struct Caller
    {
        explicit Caller(RequestBuffers &buffers)
            : share(std::make_unique<RequestBuffers::Share>(buffers, [this] { isEnded = true; }))
        { }
        Caller(const Caller &) = delete;
        Caller &operator=(const Caller &) = delete;

        bool isEnded = false;
        std::unique_ptr<RequestBuffers::Share> share;
    };
    using CallerPtr = std::unique_ptr<Caller>;

    CallerPtr newCaller() { return std::make_unique<Caller>(buffers); }

    /// Lets \a caller send \a size bytes in steps of \a step, each after \a pause.
    /// \returns whether it was not ended.
    bool send(Caller &caller, std::size_t size, std::size_t step, Duration pause)
    {
        for (std::size_t n = 0; n < size && !caller.isEnded; n += step) {
            clock.advance(pause);
            caller.share->hold(std::min(size, n + step));
            highest = std::max(highest, buffers.used());
        }
        return !caller.isEnded;
    }

    /// Adds callers that send \a size bytes together and then stop.
    void addCrowd(std::size_t count, std::size_t size)
    {
        constexpr std::size_t Step = 16 * KibiByte;
        std::vector<Caller *> added;
        for (std::size_t i = 0; i < count; ++i) {
            crowd.push_back(newCaller());
            added.push_back(crowd.back().get());
        }
        for (std::size_t n = 0; n < size; n += Step) {
            clock.advance(1ms);
            for (Caller *it : added) {
                it->share->hold(std::min(size, n + Step));
                highest = std::max(highest, buffers.used());
            }
        }
    }

    std::size_t endedOfCrowd() const
    {
        return static_cast<std::size_t>(std::count_if(
                crowd.begin(), crowd.end(), [](const CallerPtr &it) { return it->isEnded; }));
    }

    ManualClock clock;
    RequestBuffers buffers{clock, Limit};
    std::vector<CallerPtr> crowd;
    std::size_t highest = 0; ///< Largest use so far.
};

} // namespace

// Guards against a process that is killed because the incomplete requests of many connections, each
// within its own limit, are in memory at a time.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_crowdSendsWithoutEnd_sumIsBounded")
{
    struct Crowd
    {
        std::size_t count;
        std::size_t size;
    };
    for (const Crowd &it :
         {Crowd{60, 15 * MebiByte}, Crowd{3000, 64 * KibiByte}, Crowd{1, Limit}}) {
        crowd.clear();
        addCrowd(it.count, it.size);
        CHECK(highest <= Limit);
        CHECK((endedOfCrowd() > 0) == (it.count > 1));
    }
    crowd.clear();
    CHECK(buffers.used() == 0);
}

// Guards against ordinary requests that are refused because they come last.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_crowdFillsMemory_ordinaryCallersAreServed")
{
    for (const std::size_t size : {15 * MebiByte, MebiByte, 64 * KibiByte}) {
        CAPTURE(size);
        crowd.clear();
        addCrowd(2 * Limit / size, size);
        clock.advance(5s);
        for (const std::size_t own : {KibiByte, 20 * KibiByte, 100 * KibiByte}) {
            const CallerPtr caller = newCaller();
            CHECK(send(*caller, own, 16 * KibiByte, 1ms));
            caller->share->hold(0);
            CHECK(caller->share->run(3 * own));
            CHECK(caller->share->run(0));
        }
    }
}

// Guards against a large request that is refused in favour of requests that have stalled.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_crowdHasStalled_largestBodyIsServed")
{
    addCrowd(60, 15 * MebiByte);
    clock.advance(10s);
    const CallerPtr caller = newCaller();
    CHECK(send(*caller, 16 * MebiByte, 64 * KibiByte, 1ms));
    caller->share->hold(0);
    CHECK(caller->share->run(48 * MebiByte));
    CHECK(buffers.used() <= Limit);
}

// Guards against callers with a slow connection that are refused although they hold little.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_callerIsSlow_crowdGivesWayBeforeIt")
{
    const CallerPtr slow = newCaller();
    CHECK(send(*slow, 4 * KibiByte, 128, 500ms));
    for (int i = 0; i < 20; ++i) {
        addCrowd(300, 64 * KibiByte);
        addCrowd(20, 15 * MebiByte);
    }
    CHECK_FALSE(slow->isEnded);
    CHECK(send(*slow, 8 * KibiByte, 128, 500ms));
}

// Guards against requests in progress that are broken off although they may have run, and against
// more of them than fit.
TEST_CASE_FIXTURE(RequestBuffersFixture,
                  "requestBuffers_requestsInProgressFillMemory_nextIsRefused")
{
    std::vector<CallerPtr> running;
    std::size_t refused = 0;
    for (int i = 0; i < 200; ++i) {
        running.push_back(newCaller());
        refused += running.back()->share->run(MebiByte) ? 0 : 1;
    }
    CHECK(refused == 116);
    CHECK(buffers.running() == Limit - Limit / 8);
    addCrowd(60, 15 * MebiByte);
    CHECK(endedOfCrowd() == crowd.size());
    CHECK(std::none_of(running.begin(), running.end(),
                       [](const CallerPtr &it) { return it->isEnded; }));
}

TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_limitIsSmall_singleLargeRequestIsHandled")
{
    RequestBuffers small(clock, MebiByte);
    RequestBuffers::Share ordinary(small, [] {});
    CHECK(ordinary.run(MebiByte / 8));
    RequestBuffers::Share large(small, [] {});
    CHECK(large.run(48 * MebiByte));
    RequestBuffers::Share next(small, [] {});
    CHECK_FALSE(next.run(KibiByte));
    CHECK(large.run(0));
    CHECK(next.run(KibiByte));
}

// Guards against a connection that stays in memory by sending or reading a byte now and then.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_memoryShrinksALittle_ageIsKept")
{
    const CallerPtr old = newCaller();
    old->share->hold(40 * MebiByte);
    clock.advance(30s);
    old->share->hold(30 * MebiByte);
    const CallerPtr young = newCaller();
    young->share->hold(50 * MebiByte);
    clock.advance(1s);
    const CallerPtr last = newCaller();
    last->share->hold(20 * MebiByte);
    CHECK(old->isEnded);
    CHECK_FALSE(young->isEnded);
    CHECK_FALSE(last->isEnded);
}

TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_connectionIsEnded_holdsNothingAnyMore")
{
    const CallerPtr caller = newCaller();
    caller->share->hold(2 * Limit);
    CHECK(caller->isEnded);
    caller->share->hold(MebiByte);
    CHECK_FALSE(caller->share->run(MebiByte));
    CHECK(buffers.used() == 0);
}

// Guards against answers to requests that ran which are cut off while they are read, in favour of a
// crowd of incomplete requests.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_answerIsReadSlowly_crowdGivesWayBeforeIt")
{
    using Content = RequestBuffers::Content;
    constexpr std::size_t BytesPerStep = 100 * KibiByte;
    const CallerPtr reader = newCaller();
    reader->share->hold(24 * MebiByte, Content::Answer);
    while (reader->share->held() > 0) {
        clock.advance(400ms);
        crowd.clear();
        addCrowd(60, 4 * MebiByte);
        const std::size_t held = reader->share->held();
        reader->share->hold(held - std::min(held, BytesPerStep), Content::Answer);
        REQUIRE_FALSE(reader->isEnded);
    }
    CHECK(highest <= Limit);
}

// Guards against memory that is taken for good by callers that don't read their answers, or only a
// byte now and then.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_answersAreNotRead_theyGiveWayToRequests")
{
    using Content = RequestBuffers::Content;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(newCaller());
        crowd.back()->share->hold(5 * MebiByte, Content::Answer);
    }
    CHECK(buffers.used() <= Limit);
    for (int i = 0; i < 20; ++i) {
        clock.advance(1s);
        for (const CallerPtr &it : crowd)
            it->share->hold(it->share->held() - std::min<std::size_t>(it->share->held(), 1),
                            Content::Answer);
    }
    const CallerPtr caller = newCaller();
    CHECK(send(*caller, 16 * MebiByte, 64 * KibiByte, 1ms));
    CHECK(highest <= Limit);
}

// Guards against a limit that answers exceed while all of them are being read.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_answersBeingReadExceedLimit_sumIsBounded")
{
    for (int i = 0; i < 40; ++i) {
        crowd.push_back(newCaller());
        crowd.back()->share->hold(5 * MebiByte, RequestBuffers::Content::Answer);
        CHECK(buffers.used() <= Limit);
    }
    CHECK(endedOfCrowd() == 21);
    const CallerPtr caller = newCaller();
    CHECK(send(*caller, 8 * KibiByte, KibiByte, 1ms));
}

// Guards against answers that are cut off while they are read, to make room for requests that could
// still be refused.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_requestsBegin_answersThatAreReadStay")
{
    const CallerPtr reader = newCaller();
    reader->share->hold(14 * MebiByte, RequestBuffers::Content::Answer);
    std::size_t refused = 0;
    for (int i = 0; i < 5; ++i) {
        clock.advance(100ms);
        reader->share->hold(reader->share->held() - std::min(reader->share->held(), 100 * KibiByte),
                            RequestBuffers::Content::Answer);
        crowd.push_back(newCaller());
        refused += crowd.back()->share->run(24 * MebiByte) ? 0 : 1;
    }
    CHECK(refused > 0);
    CHECK_FALSE(reader->isEnded);
    CHECK(buffers.used() <= Limit);
}

// Guards against requests that ran and get no answer, because requests in progress leave no memory
// for answers.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_requestsInProgressFillMemory_answersFit")
{
    const CallerPtr stream = newCaller();
    CHECK(stream->share->run(KibiByte));
    while (crowd.empty() || crowd.back()->share->running() > 0) {
        crowd.push_back(newCaller());
        crowd.back()->share->run(4 * MebiByte - KibiByte);
    }
    stream->share->hold(64 * KibiByte, RequestBuffers::Content::Answer);
    CHECK_FALSE(stream->isEnded);
}

// Guards against uploads that are refused for minutes, because a few callers read long answers at
// 13 KB/s each.
TEST_CASE_FIXTURE(RequestBuffersFixture, "requestBuffers_answersAreReadVerySlowly_uploadIsServed")
{
    for (int i = 0; i < 8; ++i) {
        crowd.push_back(newCaller());
        crowd.back()->share->hold(12 * MebiByte, RequestBuffers::Content::Answer);
    }
    for (int i = 0; i < 15; ++i) {
        clock.advance(4s);
        for (const CallerPtr &it : crowd)
            it->share->hold(it->share->held() - std::min(it->share->held(), 64 * KibiByte),
                            RequestBuffers::Content::Answer);
    }
    const CallerPtr caller = newCaller();
    CHECK(send(*caller, 16 * MebiByte, 64 * KibiByte, 1ms));
}
