#include "Net/internal/RequestScanner.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <random>
#include <string>
#include <string_view>
#include <vector>

using namespace catkinloft;
using internal::RequestScanner;
using State = RequestScanner::State;

namespace {

constexpr RequestScanner::Limits Limits = {.headerBytes = 2048, .bodyBytes = 4096};

struct Outcome
{
    State state = State::Head;
    int status = 0;
    std::size_t consumed = 0; ///< Head, chunks and trailers; not a body with a length.
    std::size_t bodyBytes = 0;
    std::string body = {}; ///< Of chunks.
    std::string trailer = {};

    bool operator==(const Outcome &) const = default;
};

/// Scans \a text in pieces of \a piece bytes.
Outcome scan(std::string_view text, std::size_t piece)
{
    Outcome out;
    RequestScanner scanner(Limits);
    const RequestScanner::Sink sink = {.body = [&](std::string_view it) { out.body += it; },
                                       .trailer = [&](std::string_view it) { out.trailer += it; }};
    while (!text.empty()) {
        std::string_view part = text.substr(0, piece);
        text.remove_prefix(part.size());
        while (!part.empty()) {
            const std::size_t n = scanner.state() == State::Head ? scanner.readHead(part)
                    : scanner.state() == State::Chunks           ? scanner.readChunks(part, sink)
                                                                 : 0;
            if (n == 0)
                break;
            out.consumed += n;
            part.remove_prefix(n);
        }
    }
    out.state = scanner.state();
    out.status = scanner.rejectStatus();
    out.bodyBytes = scanner.bodyBytes();
    // What follows a malformed line is of no interest.
    if (out.state == State::Rejected)
        return {.state = out.state, .status = out.status};
    return out;
}

Outcome scanInAnyPieces(std::string_view text)
{
    Outcome out = scan(text, text.size());
    for (const std::size_t piece : {1, 2, 3, 7, 64})
        CHECK(scan(text, piece) == out);
    return out;
}

std::string post(std::string_view headers)
{
    return "POST /a HTTP/1.1\r\n" + std::string(headers) + "\r\n";
}

} // namespace

TEST_CASE("requestScanner_requestIsWhole_endIsFound")
{
    struct Case
    {
        std::string head;
        std::string rest;
        State state;
        std::size_t bodyBytes;
    };
    const std::vector<Case> cases = {
            {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "GET /b", State::Complete, 0},
            {"GET / HTTP/1.1\nHost: x\n\n", "GET /b", State::Complete, 0},
            {"GET / HTTP/1.1\r\n:\nContent-Length : 3\r\n\r\n", "abc", State::Complete, 0},
            {"HEAD / HTTP/1.1\r\nContent-Length: 3\r\n\r\n", "abc", State::Complete, 0},
            {"BREW / HTTP/1.1\r\nContent-Length: 3\r\n\r\n", "abc", State::Complete, 0},
            {"GET / HTTP/1.1\r\nContent-Length: 3\r\n\r\n", "abcd", State::Body, 3},
            {"DELETE / HTTP/1.0\r\ncontent-length:3 \r\n\r\n", "ab", State::Body, 3},
            {post("Content-Length: 3\r\nContent-Length: 4\r\n"), "abc", State::Body, 3},
            {post("Content-Length: 0\r\n"), "", State::Complete, 0},
            {post("Content-Length: 4096\r\n"), "", State::Body, 4096},
            {post("Transfer-Encoding: identity\r\nContent-Length: 3\r\n"), "", State::Body, 3},
            {post("X: " + std::string(1500, 'a') + "\r\nContent-Length: 3\r\n"), "", State::Body,
             3},
            {post("X: a\r\n folded\r\nContent-Length: 3\r\n"), "", State::Body, 3},
    };
    for (const Case &it : cases) {
        CAPTURE(it.head);
        const Outcome out = scanInAnyPieces(it.head + it.rest);
        CHECK(out.state == it.state);
        CHECK(out.consumed == it.head.size());
        CHECK(out.bodyBytes == it.bodyBytes);
    }
}

TEST_CASE("requestScanner_bodyInChunks_isReadWithoutFraming")
{
    const std::string head = post("Transfer-Encoding: Chunked\r\nContent-Length: 5\r\n");
    const std::string chunks = "3\r\nabc\r\n 0x1 note\r\nd\r\n\r\n\r\n2\nef0\r\nX: y\r\n\r\n";
    const Outcome out = scanInAnyPieces(head + chunks + "GET /b");
    CHECK(out.state == State::Complete);
    CHECK(out.consumed == head.size() + chunks.size());
    CHECK(out.body == "abcdef");
    CHECK(out.trailer == "X: y\r\n\r\n");
    const Outcome empty = scanInAnyPieces(head + "0\r\n\r\n");
    CHECK(empty.state == State::Complete);
    CHECK(empty.trailer == "\r\n");
}

// Guards against requests that take memory without end, and against two readings of one request.
TEST_CASE("requestScanner_malformedOrOverLimit_isRejected")
{
    struct Case
    {
        std::string text;
        int status;
    };
    const std::string chunked = post("Transfer-Encoding: chunked\r\n");
    const std::vector<Case> cases = {
            {"\r\n", 400},
            {"rubbish\r\n", 400},
            {"GET / HTTP/2.0\r\n", 400},
            {"GET /" + std::string(3000, 'a'), 400},
            {"GET / HTTP/1.1\r\nX: " + std::string(3000, 'a'), 400},
            {"GET / HTTP/1.1\r\nrubbish\r\n", 400},
            {"GET / HTTP/1.1\r\n folded\r\n", 400},
            {std::string("GET / HTTP/1.1\r\nA: \0\r\n", 22), 400},
            {post("Content-Length: many\r\n"), 400},
            {post("Content-Length: -5\r\n"), 400},
            {post("Content-Length:\r\n"), 400},
            {post("Content-Length: 3\r\n 4\r\n"), 400},
            {post("Content-Length: 4097\r\n"), 413},
            {post("Content-Length: 99999999999999999999\r\n"), 413},
            {post("Expect: nothing\r\nContent-Length: 3\r\n"), 417},
            {chunked + "zz\r\n", 400},
            {chunked + "-1\r\n", 400},
            {chunked + "1001\r\n", 413},
            {chunked + "1\r\na\r\n1000\r\n", 413},
            {chunked + "7fffffffffffffff\r\n", 413},
            {chunked + std::string(3000, '0'), 400},
            {chunked + "1\r\na" + std::string(100, '\n'), 400},
            {chunked + "0\r\nX: " + std::string(3000, 'a'), 400},
    };
    for (const Case &it : cases) {
        CAPTURE(it.text);
        const Outcome out = scanInAnyPieces(it.text);
        CHECK(out.state == State::Rejected);
        CHECK(out.status == it.status);
    }
}

TEST_CASE("requestScanner_callerExpectsContinue_isKnownIfABodyFollows")
{
    const auto expects = [](std::string_view text) {
        RequestScanner scanner(Limits);
        scanner.readHead(text);
        return scanner.expectsContinue();
    };
    CHECK(expects(post("Expect: 100-Continue\r\nContent-Length: 3\r\n")));
    CHECK(expects(post("Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n")));
    CHECK_FALSE(expects(post("Expect: 100-continue\r\n")));
    CHECK_FALSE(expects(post("Content-Length: 3\r\n")));
    CHECK_FALSE(expects("POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"));
}

TEST_CASE("requestScanner_anyBytes_piecesMakeNoDifference")
{
    const std::vector<std::string> tokens = {"POST /a HTTP/1.1\r\n",
                                             "GET / HTTP/1.0\n",
                                             "Content-Length: 3\r\n",
                                             "Transfer-Encoding: chunked\r\n",
                                             "Expect: 100-continue\r\n",
                                             "X: y\r\n",
                                             " folded\r\n",
                                             "\r\n",
                                             "\n",
                                             "\r",
                                             "3\r\n",
                                             "abc",
                                             "0\r\n",
                                             " ",
                                             "-",
                                             std::string(1, '\0'),
                                             std::string(900, 'a')};
    std::mt19937 random(20);
    for (int i = 0; i < 3000; ++i) {
        std::string text = tokens[random() % 2];
        for (std::size_t n = random() % 12; n > 0; --n)
            text += tokens[random() % tokens.size()];
        CAPTURE(text);
        const Outcome whole = scan(text, text.size());
        REQUIRE(scan(text, 1) == whole);
        REQUIRE(scan(text, 1 + random() % 20) == whole);
    }
}
