#include "Request/EventOrder.h"
#include "Request/ResumeToken.h"
#include "Request/StreamCursor.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace catkinloft;

namespace {

std::string streamOf(int from, int to)
{
    std::string out;
    for (int i = from; i < to; ++i)
        out += fmt::format("id: {0}\ndata: {{\"token\":\"t{0}\"}}\n\n", i);
    return out;
}

/// Feeds pieces of a stream and collects the events that the caller receives.
struct StreamFixture
{
    bool feed(std::string_view data)
    {
        return reader.feed(data, [this](const SseEvent &it) {
            if (cursor.take(it) == StreamCursor::Disposition::Deliver)
                delivered += it.text;
            else if (cursor.take(it) == StreamCursor::Disposition::Gap)
                gap = true;
            ended = ended || it.isEnd;
        });
    }

    SseReader reader;
    StreamCursor cursor;
    std::string delivered;
    bool gap = false;
    bool ended = false;
};

using Disposition = EventOrder::Disposition;

/// \returns the results of \a order for the events \a ids on the current connection.
std::vector<Disposition> take(EventOrder &order, const std::vector<std::int64_t> &ids)
{
    std::vector<Disposition> out;
    out.reserve(ids.size());
    for (const std::int64_t it : ids)
        out.push_back(order.take(it));
    return out;
}

} // namespace

TEST_CASE("eventOrder_idsIncreaseWithGaps_areDelivered")
{
    EventOrder order;
    CHECK(take(order, {1, 2, 5, 20}) == std::vector(4, Disposition::Deliver));
    CHECK(order.last() == 20);
    CHECK(order.take(std::nullopt) == Disposition::Deliver);
    CHECK(!order.hasLostEvent());
}

// Guards against a stream that lacks an event and is still reported to the caller as complete.
TEST_CASE("eventOrder_idDecreasesWithinOneConnection_isDisorder")
{
    EventOrder order;
    CHECK(take(order, {1, 5, 2})
          == std::vector{Disposition::Deliver, Disposition::Deliver, Disposition::Disorder});
    CHECK(order.hasLostEvent());
    EventOrder repeated;
    CHECK(take(repeated, {1, 2, 2})
          == std::vector{Disposition::Deliver, Disposition::Deliver, Disposition::Disorder});
}

TEST_CASE("eventOrder_resumedStreamRepeatsKnownEvents_skipsThem")
{
    EventOrder order;
    take(order, {1, 2, 3});
    order.beginConnection();
    CHECK(take(order, {2, 3, 4})
          == std::vector{Disposition::Skip, Disposition::Skip, Disposition::Deliver});
    CHECK(take(order, {3}) == std::vector{Disposition::Disorder});
    CHECK(order.hasLostEvent());
}

TEST_CASE("eventOrder_repeatedEventsOutOfOrder_deliveredEventsStayComplete")
{
    EventOrder order;
    take(order, {1, 2, 3});
    order.beginConnection();
    CHECK(take(order, {3, 2}) == std::vector{Disposition::Skip, Disposition::Disorder});
    CHECK(!order.hasLostEvent());
    CHECK(order.last() == 3);
}

TEST_CASE("eventOrder_resumedAfterTheWrongEvent_isAGap")
{
    EventOrder order;
    take(order, {1, 2, 3});
    order.beginConnection();
    CHECK(order.take(5) == Disposition::Gap);
    CHECK(order.last() == 3);
    order.beginConnection();
    CHECK(order.take(4) == Disposition::Deliver);
}

TEST_CASE("eventOrder_idsWithGaps_mayResumeWithAnyLaterOne")
{
    EventOrder order;
    take(order, {10, 20});
    order.beginConnection();
    CHECK(order.take(35) == Disposition::Deliver);
    EventOrder repeating;
    take(repeating, {1, 2});
    repeating.beginConnection();
    CHECK(take(repeating, {2, 4}) == std::vector{Disposition::Skip, Disposition::Deliver});
}

TEST_CASE("eventOrder_callerResumes_repeatedEventsAreSkipped")
{
    EventOrder order(12);
    CHECK(take(order, {11, 12, 13})
          == std::vector{Disposition::Skip, Disposition::Skip, Disposition::Deliver});
    EventOrder later(12);
    CHECK(later.take(15)
          == Disposition::Deliver); // Whether the ids were consecutive before is unknown.
}

TEST_CASE("sseReader_streamSplitAnywhere_yieldsTheSameEvents")
{
    const std::string whole = streamOf(0, 3) + "data: [DONE]\n\n";
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
        CAPTURE(cut);
        StreamFixture it;
        CHECK(it.feed(std::string_view(whole).substr(0, cut)));
        CHECK(it.feed(std::string_view(whole).substr(cut)));
        CHECK(it.delivered == whole);
        CHECK(it.ended);
    }
}

TEST_CASE_FIXTURE(StreamFixture, "streamCursor_brokenAndResumed_deliversEachTokenOnce")
{
    feed(streamOf(0, 5) + "id: 5\ndata: {\"tok");
    reader.reset();
    feed(streamOf(3, 8));
    CHECK(delivered == streamOf(0, 8));
    CHECK(!gap);
    feed(streamOf(9, 10));
    CHECK(gap);
    CHECK(delivered == streamOf(0, 8));
}

TEST_CASE_FIXTURE(StreamFixture, "sseReader_endMarkerWithinText_isIgnored")
{
    feed("id: 0\ndata: {\"content\":\"data: [DONE]\"}\n\n");
    CHECK(!ended);
}

TEST_CASE_FIXTURE(StreamFixture, "sseReader_endlessEvent_isRefused")
{
    CHECK(!feed(std::string(1024 * 1024, 'x')));
}

TEST_CASE("resumeToken_anyChange_isRefused")
{
    const std::vector<SharedKey> keys = {{"k1", "secret-of-the-routers"}};
    const ResumeToken token{.workspace = "w", .requestId = "r", .upstreamId = "u", .engine = "e"};
    const std::string text = token.encode(keys);
    const Result<ResumeToken> back = ResumeToken::decode(text, keys);
    REQUIRE(back);
    CHECK(back.value().workspace == "w");
    CHECK(back.value().engine == "e");
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        CHECK(!ResumeToken::decode(changed, keys));
    }
    CHECK(!ResumeToken::decode("", keys));
    const std::vector<SharedKey> others = {{"k2", "secret-of-somebody-else"}};
    CHECK(!ResumeToken::decode(text, others));
}
