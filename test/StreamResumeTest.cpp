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

/// What a caller gets of the pieces that its connections bring.
struct StreamFixture
{
    bool feed(std::string_view data)
    {
        return reader.feed(data, [this](const SseEvent &it) {
            if (cursor.take(it) == StreamCursor::Step::Deliver)
                delivered += it.text;
            else if (cursor.take(it) == StreamCursor::Step::Gap)
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

} // namespace

TEST_CASE("sseReader_everyCutOfAStream_bringsTheSameEvents")
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

TEST_CASE_FIXTURE(StreamFixture, "sseReader_endMarkerWithinText_isNoEnd")
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
