#include "Request/EventOrder.h"
#include "Request/ResumeToken.h"
#include "Request/StreamCursor.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

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

/// \returns the number of empty lines in \a text, each of which ends an event.
int referenceEvents(const std::string &text)
{
    int out = 0;
    bool isLineEmpty = true;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '\r' && text[i] != '\n') {
            isLineEmpty = false;
            continue;
        }
        if (text[i] == '\r' && i + 1 < text.size() && text[i + 1] == '\n')
            ++i;
        out += isLineEmpty ? 1 : 0;
        isLineEmpty = true;
    }
    return out;
}

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

// Guards against streams whose events aren't recognised, and are dropped or delivered twice,
// because a replica uses another form that the grammar allows.
TEST_CASE("sseReader_formsOfTheGrammar_areRead")
{
    struct Form
    {
        std::string text;
        std::optional<std::int64_t> id;
        bool hasData;
    };
    const std::vector<Form> forms = {
            {"id: 7\ndata: a\n\n", 7, true},
            {"id:7\ndata:a\n\n", 7, true},
            {"id:7\r\ndata:a\r\n\r\n", 7, true},
            {"id:7\rdata:a\r\r", 7, true},
            {"id: 7\r\ndata: a\n\r\n", 7, true},
            {"\xef\xbb\xbfid:7\ndata\n\n", 7, true},
            {"data: a\ndata: b\nid: 7\n\n", 7, true},
            {": comment\n\n", std::nullopt, false},
            {"retry: 100\n\n", std::nullopt, false},
            {"id\ndata:a\n\n", std::nullopt, true},
            {"id:  7\ndata:a\n\n", std::nullopt, true}, // One space is removed at most.
            {std::string("id:7\0\ndata:a\n\n", 14), std::nullopt, true},
            {"data:a\n\n", std::nullopt, true},
            {"ids: 7\nid : 7\n\n", std::nullopt, false},
    };
    for (const Form &it : forms) {
        CAPTURE(it.text);
        SseReader reader;
        int events = 0;
        CHECK(reader.feed(it.text, [&](const SseEvent &event) {
            ++events;
            CHECK(event.text == it.text);
            CHECK(event.id == it.id);
            CHECK(event.hasData == it.hasData);
        }));
        CHECK(events == 1);
        CHECK(!reader.hasPartialEvent());
    }
}

// Guards against a byte order mark in the middle of a resumed stream: callers read it as part of a
// field's name, lose the id of that event, and get the event twice when they resume after it.
TEST_CASE("sseReader_byteOrderMark_isPassedOnlyAtTheBeginningOfTheStream")
{
    const std::string mark = "\xef\xbb\xbf";
    const std::string event = "id: 7\ndata: a\n\n";
    SseReader reader;
    std::string text;
    std::optional<std::int64_t> id;
    const auto receive = [&](const SseEvent &it) {
        text = it.text;
        id = it.id;
    };
    reader.feed(mark + event.substr(0, 5), receive);
    reader.reset();
    reader.feed(mark + event, receive);
    CHECK(text == mark + event);
    CHECK(id == 7);
    reader.feed(mark + event, receive);
    CHECK(text == mark + event);
    CHECK_FALSE(id);
    reader.reset();
    for (const char c : mark + event)
        reader.feed(std::string_view(&c, 1), receive);
    CHECK(text == event);
    CHECK(id == 7);
    reader.reset();
    reader.feed(mark + "\r", receive);
    CHECK(text == "\r");
    CHECK_FALSE(id);
}

// Guards against a reader that loses or adds bytes, or joins events, depending on how the bytes
// arrive. The reference reads the whole text at once, character by character.
TEST_CASE("sseReader_randomTextInRandomPieces_matchesReference")
{
    constexpr std::string_view Alphabet = "\r\n\r\nid:7a ";
    constexpr int Texts = 20'000;
    std::mt19937 random(1);
    const auto below = [&random](std::size_t n) { return random() % n; };
    for (int round = 0; round < Texts; ++round) {
        std::string text;
        for (std::size_t i = below(24); i > 0; --i)
            text += Alphabet[below(Alphabet.size())];
        CAPTURE(text);
        SseReader reader;
        std::string read;
        int events = 0;
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t n = 1 + below(text.size() - at);
            CHECK(reader.feed(std::string_view(text).substr(at, n), [&](const SseEvent &it) {
                read += it.text;
                events += it.text == "\n" && read.ends_with("\r\n") ? 0 : 1;
            }));
            at += n;
        }
        CHECK(read.size() + reader.bufferedBytes() == text.size());
        CHECK(text.starts_with(read));
        CHECK(events == referenceEvents(text));
    }
}

// Guards against data that comes twice, because a stream goes on behind an id before it.
TEST_CASE("eventOrder_dataWithoutAnId_isNotResumable")
{
    EventOrder order;
    CHECK(order.isResumable());
    order.take(1);
    CHECK(order.take(std::nullopt, false) == Disposition::Deliver);
    CHECK(order.isResumable());
    CHECK(order.take(std::nullopt, true) == Disposition::Deliver);
    CHECK(!order.isResumable());
    CHECK(order.take(2) == Disposition::Deliver);
    CHECK(order.isResumable());
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
