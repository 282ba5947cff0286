#include "EntryGatewayFixture.h"

#include <doctest/doctest.h>

#include <string>

using namespace catkinloft;
using End = ScriptedReplica::End;

namespace {

/// A replica that accepts streams, and what it sends after the head of each.
struct StreamHeadFixture : EntryGatewayFixture
{
    void addReplicaThatSends(const std::string &stream, End end = End::Keep)
    {
        addReplica([=](const std::string &request, std::size_t) {
            if (request.starts_with("GET /once/"))
                return ok(request, 0);
            return ScriptedReplica::Reply{.bytes = ScriptedReplica::streamHead(request) + stream,
                                          .end = end};
        });
    }

    /// \returns the answer on a connection on which a request was answered before.
    std::string callOnKeptConnection(const std::string &path, const std::string &last)
    {
        REQUIRE(call(caller, get("/once/"), "fine").starts_with("HTTP/1.1 200"));
        return call(caller, withId(get(path), "r2"), last);
    }

    RawCaller caller{Port};
};

} // namespace

// Guards against a connection that is closed without an answer because the stream of a replica
// ended between its head and its first event.
TEST_CASE_FIXTURE(StreamHeadFixture, "streamHead_streamEndsBeforeItsFirstEvent_callerGetsAnAnswer")
{
    End end = End::Close;
    SUBCASE("closed") { }
    SUBCASE("reset")
    {
        end = End::Reset;
    }
    addReplicaThatSends({}, end);
    const std::string answer = callOnKeptConnection("/whole/", "may_have_run");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(answer.find("may_have_run") != answer.npos);
    CHECK_FALSE(closed);
    CHECK((events.back().kind == RequestEvent::Kind::Refused));
}

// As above at the deadline of the request.
TEST_CASE_FIXTURE(StreamHeadFixture, "streamHead_noEventUntilTheDeadline_callerGetsAnAnswer")
{
    addReplicaThatSends({});
    const std::string answer = callOnKeptConnection("/whole/", "may_have_run");
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(answer.find("may_have_run") != answer.npos);
    CHECK_FALSE(closed);
}

// Guards against the head of one attempt in front of the events of another one.
TEST_CASE_FIXTURE(StreamHeadFixture, "streamHead_otherReplicaSendsFirstEvent_itsHeadIsPassedOn")
{
    addReplica([](const std::string &request, std::size_t) {
        std::string head = ScriptedReplica::streamHead(request);
        head.insert(head.size() - 2, "X-Attempt: first\r\n");
        return ScriptedReplica::Reply{.bytes = head, .end = End::Close};
    });
    RawCaller other(Port);
    other.send(get("/stream/"));
    REQUIRE(until([&] { return sent() == 1; }));
    addReplicaThatSends(ScriptedReplica::events(1, 2) + ScriptedReplica::streamEnd());
    REQUIRE(until([&] { return other.read() || other.received.ends_with("0\r\n\r\n"); }));
    CHECK(other.received.starts_with("HTTP/1.1 200"));
    CHECK(other.received.find("X-Attempt") == other.received.npos);
    CHECK(other.received.find("e2") != other.received.npos);
}

// Guards against a stream without events that is never ended.
TEST_CASE_FIXTURE(StreamHeadFixture, "streamHead_streamHasNoEvents_isAnsweredAsEmpty")
{
    addReplicaThatSends(ScriptedReplica::streamEnd());
    const std::string answer = callOnKeptConnection("/whole/", "0\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("text/event-stream") != answer.npos);
    CHECK(answer.ends_with("0\r\n\r\n"));
}
