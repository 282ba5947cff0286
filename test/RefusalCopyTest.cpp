#include "EntryGatewayFixture.h"
#include "Net/HttpClient.h"

#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using Reply = ScriptedReplica::Reply;

namespace {

/// When the copy of a refusal is sent.
enum class CopyTime {
    BeforeNext, ///< In front of the next answer on the connection.
    TwiceBeforeNext, ///< Two copies, as above.
    WithRefusal, ///< In one segment with the refusal.
    Later, ///< Some milliseconds after the refusal.
};

/// How a refusal is written.
struct RefusalForm
{
    std::string_view name;
    std::string_view headers; ///< Besides the id and the promise.
    std::string_view body; ///< As it is sent, after the headers.
    bool hasId = true;
};

constexpr std::string_view NoBody = "Content-Length: 0\r\n";

const std::vector<RefusalForm> Forms = {
        {"plain", NoBody, ""},
        {"with a body", "Content-Length: 4\r\n", "full"},
        {"chunked", "Transfer-Encoding: chunked\r\n", "4\r\nfull\r\n0\r\n\r\n"},
        {"that closes", "Connection: close\r\nContent-Length: 0\r\n", ""},
        {"with a time to wait", "Retry-After: 0.050\r\nContent-Length: 0\r\n", ""},
        {"without an id", NoBody, "", false},
};

std::string refusalOf(const std::string &request, int status, const RefusalForm &form = Forms[0])
{
    std::string out = fmt::format("HTTP/1.1 {} X\r\n", status);
    if (form.hasId)
        out += fmt::format("X-Request-Id: {}\r\n",
                           ScriptedReplica::headerOf(request, "X-Request-Id"));
    if (status != 421)
        out += "X-Not-Executed: 1\r\n";
    return fmt::format("{}{}\r\n{}", out, form.headers, form.body);
}

Reply refuse(const std::string &refusal, CopyTime time)
{
    Reply out{.bytes = refusal};
    switch (time) {
    case CopyTime::BeforeNext:
        out.beforeNext = refusal;
        break;
    case CopyTime::TwiceBeforeNext:
        out.beforeNext = refusal + refusal;
        break;
    case CopyTime::WithRefusal:
        out.bytes += refusal;
        break;
    case CopyTime::Later:
        out.later = refusal;
        break;
    }
    return out;
}

bool promisesNotRun(const std::string &answer)
{
    const std::set<std::string> promises = {"408", "421", "429", "503"};
    return promises.contains(answer.substr(std::string_view("HTTP/1.1 ").size(), 3));
}

/// Replicas that refuse the first request with each id and serve the others, with the ids that ran.
struct RefusalCopyFixture : EntryGatewayFixture
{
    /// Refuses the first request with each id.
    ScriptedReplica::Script refusesFirst(int status, const RefusalForm &form, CopyTime time)
    {
        return [=, this](const std::string &request, std::size_t) -> Reply {
            if (refused.insert(ScriptedReplica::headerOf(request, "X-Request-Id")).second)
                return refuse(refusalOf(request, status, form), time);
            return run(request);
        };
    }

    Reply run(const std::string &request)
    {
        ++runs;
        if (request.find("ream/") == std::string::npos && request.find("/whole/") == request.npos)
            return {.bytes = ScriptedReplica::answer(request, 200, "fine")};
        return {.bytes = ScriptedReplica::streamHead(request) + ScriptedReplica::events(4, 5)
                        + ScriptedReplica::streamEnd()};
    }

    /// Registers a further replica at the address of the first one, as the former one there.
    void addFormer()
    {
        ReplicaRecord former = records.front();
        former.id = fmt::format("i-former-{}", records.size());
        records.push_back(former);
        publishReplicas();
    }

    /// Sends a request and waits for the whole answer.
    std::string answerTo(const std::string &bytes)
    {
        RawCaller caller(Port);
        caller.send(bytes);
        until([&] {
            return caller.read() || caller.received.ends_with("fine")
                    || caller.received.ends_with("0\r\n\r\n")
                    || caller.received.find("\"verdict\"") != std::string::npos;
        });
        return caller.received;
    }

    static std::string requestWithId(const std::string &path, const std::string &id)
    {
        std::string out = request("POST", path, {}, "x");
        return out.replace(out.find("r1\r\n"), 2, id);
    }

    /// Lets the time pass for which a replica that refused is excluded.
    void waitForReplicas()
    {
        until([] { return false; }, 150);
    }

    std::set<std::string> refused;
    int runs = 0;
};

} // namespace

// Guards against the copy of a refusal that is taken for the answer to the next attempt, which
// meets the same connection because two replicas are registered at its address: the caller is told
// that the request did not run although it did.
TEST_CASE("refusalCopy_nextAttemptMeetsTheConnection_requestIsServedOnce")
{
    for (const int status : {503, 429, 421, 400}) {
        for (const RefusalForm &form : Forms) {
            for (const CopyTime time : {CopyTime::BeforeNext, CopyTime::TwiceBeforeNext,
                                        CopyTime::WithRefusal, CopyTime::Later}) {
                CAPTURE(status);
                CAPTURE(form.name);
                CAPTURE(static_cast<int>(time));
                RefusalCopyFixture it;
                it.addReplica(it.refusesFirst(status, form, time));
                it.addFormer();
                const std::string answer = it.answerTo(it.request("POST", "/once/", {}, "x"));
                CAPTURE(answer);
                CHECK(it.runs <= 1);
                CHECK_FALSE((it.runs > 0 && promisesNotRun(answer)));
                // A refusal that names no request doesn't show that this one did not run.
                if (form.hasId)
                    CHECK(answer.starts_with("HTTP/1.1 200"));
            }
        }
    }
}

// Guards against a request that runs twice because the copy of a refusal is taken for the answer to
// its second attempt.
TEST_CASE("refusalCopy_anotherReplicaIsLeft_requestRunsOnce")
{
    for (const int formers : {1, 2, 3}) {
        CAPTURE(formers);
        RefusalCopyFixture it;
        const auto script = it.refusesFirst(421, Forms[0], CopyTime::BeforeNext);
        it.addReplica(script);
        for (int i = 0; i < formers; ++i)
            it.addFormer();
        it.addReplica([&](const std::string &request, std::size_t) { return it.run(request); });
        // The first attempts go to the shared address.
        it.records.back().slots = 1;
        it.publishReplicas();
        for (int i = 0; i < 4; ++i) {
            const int before = it.runs;
            const std::string answer =
                    it.answerTo(it.requestWithId("/once/", fmt::format("q{}", i)));
            CAPTURE(answer);
            CHECK(it.runs == before + 1);
            CHECK(answer.starts_with("HTTP/1.1 200"));
        }
    }
}

// Guards against a caller that sends its request again after a refusal and gets the copy of that
// refusal, although the request runs.
TEST_CASE("refusalCopy_callerRepeatsItsRequest_isServed")
{
    for (const int status : {503, 429, 400}) {
        for (const CopyTime time : {CopyTime::BeforeNext, CopyTime::TwiceBeforeNext,
                                    CopyTime::WithRefusal, CopyTime::Later}) {
            CAPTURE(status);
            CAPTURE(static_cast<int>(time));
            RefusalCopyFixture it;
            it.addReplica(it.refusesFirst(status, Forms[0], time));
            const std::string request = it.request("POST", "/once/", {}, "x");
            CHECK(it.answerTo(request).starts_with("HTTP/1.1 503"));
            CHECK(it.runs == 0);
            it.waitForReplicas();
            const std::string answer = it.answerTo(request);
            CAPTURE(answer);
            CHECK(it.runs == 1);
            CHECK(answer.starts_with("HTTP/1.1 200"));
        }
    }
}

// Guards against a request that fails because it meets the copy of another one's refusal.
TEST_CASE("refusalCopy_otherRequestMeetsTheCopy_isServed")
{
    for (const int status : {503, 429, 400}) {
        for (const RefusalForm &form : Forms) {
            for (const CopyTime time : {CopyTime::BeforeNext, CopyTime::TwiceBeforeNext,
                                        CopyTime::WithRefusal, CopyTime::Later}) {
                for (const char *path : {"/once/", "/whole/"}) {
                    CAPTURE(status);
                    CAPTURE(form.name);
                    CAPTURE(static_cast<int>(time));
                    CAPTURE(path);
                    RefusalCopyFixture it;
                    it.addReplica([&](const std::string &request, std::size_t n) -> Reply {
                        if (n == 0)
                            return refuse(refusalOf(request, status, form), time);
                        return it.run(request);
                    });
                    it.answerTo(it.requestWithId("/once/", "q1"));
                    CHECK(it.runs == 0);
                    it.waitForReplicas();
                    const std::string answer = it.answerTo(it.requestWithId(path, "q2"));
                    CAPTURE(answer);
                    CHECK(it.runs == 1);
                    if (form.hasId)
                        CHECK(answer.starts_with("HTTP/1.1 200"));
                    CHECK_FALSE(promisesNotRun(answer));
                }
            }
        }
    }
}

// Guards against an answer without an id that arrives on a connection which was idle, as some
// servers announce that they close it, and is taken for the refusal of a request that runs.
TEST_CASE("refusalCopy_idleConnectionCarriesRefusalWithoutId_isNotTakenForThatOfTheNextRequest")
{
    for (const int status : {408, 421, 429, 503}) {
        CAPTURE(status);
        RefusalCopyFixture it;
        it.addReplica([&](const std::string &request, std::size_t n) -> Reply {
            Reply out = it.run(request);
            if (n == 0)
                out.beforeNext = refusalOf(request, status, Forms.back());
            return out;
        });
        CHECK(it.answerTo(it.requestWithId("/once/", "q1")).starts_with("HTTP/1.1 200"));
        const std::string answer = it.answerTo(it.requestWithId("/once/", "q2"));
        CAPTURE(answer);
        CHECK(it.runs == 2);
        CHECK_FALSE(promisesNotRun(answer));
    }
}

// Guards against a stream that a caller resumes and that is refused, or begun twice, because its
// second attempt meets the copy of the refusal.
TEST_CASE("refusalCopy_streamIsResumed_isServedOnce")
{
    for (const int status : {503, 421}) {
        CAPTURE(status);
        RefusalCopyFixture it;
        it.addReplica(it.refusesFirst(status, Forms[0], CopyTime::BeforeNext));
        it.addFormer();
        const std::string answer =
                it.answerTo(it.get("/stream/", "Last-Event-Id: 3\r\nResumes: r0\r\n"));
        CAPTURE(answer);
        CHECK(it.runs == 1);
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.find("e5") != std::string::npos);
    }
}

// Guards against a stream that breaks off because the attempt which resumes it meets a copy.
TEST_CASE("refusalCopy_brokenStreamGoesOn_isDelivered")
{
    RefusalCopyFixture it;
    const auto script = [&](const std::string &request, std::size_t n) -> Reply {
        if (n == 0)
            return {.bytes = ScriptedReplica::streamHead(request) + ScriptedReplica::events(1, 3),
                    .end = ScriptedReplica::End::Reset};
        if (it.refused.insert("").second)
            return refuse(refusalOf(request, 421), CopyTime::BeforeNext);
        return it.run(request);
    };
    it.finding = CrashWatch::Finding::NotCrashed;
    it.addReplica(script);
    for (int i = 0; i < 3; ++i)
        it.addFormer();
    const std::string answer = it.answerTo(it.get("/stream/"));
    CAPTURE(answer);
    CHECK(it.runs == 1);
    CHECK(answer.find("e5") != std::string::npos);
}

// Guards against further attempts of a repeatable call that meet copies, after one that is silent
// or fails.
TEST_CASE("refusalCopy_attemptFollowsSilentOrFailedOne_isServed")
{
    for (const bool isSilent : {true, false}) {
        CAPTURE(isSilent);
        RefusalCopyFixture it;
        // The second attempt is refused, and its copy waits for the third one.
        const auto script = [&](const std::string &request, std::size_t) -> Reply {
            const std::size_t n = it.sent();
            if (n == 0)
                return isSilent ? Reply()
                                : Reply{.bytes = ScriptedReplica::answer(request, 500, "bad")};
            if (n == 1)
                return refuse(refusalOf(request, 421), CopyTime::BeforeNext);
            return it.run(request);
        };
        it.addReplica(script);
        it.addFormer();
        it.addFormer();
        it.addFormer();
        const std::string answer = it.answerTo(it.get("/safe/"));
        CAPTURE(answer);
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(it.runs == 1);
    }
}

// Guards against the copy of an error answer that is taken for the answer to the next attempt.
TEST_CASE("refusalCopy_errorAnswerIsCopied_nextAttemptIsServed")
{
    RefusalCopyFixture it;
    it.addReplica([&](const std::string &request, std::size_t n) -> Reply {
        const std::string bad = ScriptedReplica::answer(request, 500, "bad");
        return n == 0 ? Reply{.bytes = bad, .beforeNext = bad} : it.run(request);
    });
    it.addFormer();
    const std::string answer = it.answerTo(it.get("/safe/"));
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(it.runs == 1);
}

// Guards against a connection that is used again after a refusal of a call whose answers can't be
// told apart.
TEST_CASE("httpClient_callWithoutIdIsRefused_connectionIsNotUsedAgain")
{
    for (const int status : {408, 421, 429, 503}) {
        CAPTURE(status);
        EventLoop loop;
        HttpClient client(loop);
        ScriptedReplica upstream(loop, [&](const std::string &, std::size_t n) -> Reply {
            const std::string refusal =
                    fmt::format("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n", status);
            if (n == 0)
                return {.bytes = refusal, .beforeNext = refusal};
            return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"};
        });
        std::vector<int> statuses;
        for (int i = 0; i < 2; ++i) {
            client.fetch({.address = upstream.address(), .timeout = 2s},
                         [&](const Result<HttpAnswer> &answer) {
                             statuses.push_back(answer ? answer.value().head.status : 0);
                             loop.stop();
                         });
            loop.run();
        }
        CHECK(statuses == std::vector{status, 200});
        CHECK(upstream.connections() == 2);
    }
}

namespace {

/// An upstream that answers calls with an id, by the number of the call.
struct IdentifiedCallFixture
{
    /// \returns the status of the answer to a call with \a id, 0 if it fails.
    int statusOf(const std::string &id)
    {
        int out = -1;
        client.fetch({.address = upstream.address(),
                      .headers = {{"X-Request-Id", id}},
                      .timeout = 2s,
                      .answerId = {"X-Request-Id", id}},
                     [&](const Result<HttpAnswer> &answer) {
                         out = answer ? answer.value().head.status : 0;
                         loop.stop();
                     });
        loop.run();
        return out;
    }

    EventLoop loop;
    HttpClient client{loop};
    std::function<Reply(const std::string &request, std::size_t n)> script;
    ScriptedReplica upstream{
            loop, [this](const std::string &request, std::size_t n) { return script(request, n); }};
};

} // namespace

// Guards against a connection that carries a request again on which an answer to it was a failure.
TEST_CASE("httpClient_callFails_isNotSentOnItsConnectionAgain")
{
    for (const int status : {400, 408, 421, 429, 500, 503}) {
        CAPTURE(status);
        IdentifiedCallFixture it;
        it.script = [=](const std::string &request, std::size_t n) -> Reply {
            const std::string refusal = ScriptedReplica::answer(request, status, "");
            if (n == 0)
                return {.bytes = refusal, .beforeNext = refusal};
            return {.bytes = ScriptedReplica::answer(request, 200, "fine")};
        };
        CHECK(it.statusOf("q1") == status);
        CHECK(it.statusOf("q1") == 200);
        CHECK(it.upstream.connections() == 2);
    }
}

// Guards against a call that gets the copy of another one's answer, and against a connection that
// is given up although nothing but the own answer came.
TEST_CASE_FIXTURE(IdentifiedCallFixture, "httpClient_otherCallFailed_connectionIsUsedAgain")
{
    bool isCopied = false;
    script = [&](const std::string &request, std::size_t n) -> Reply {
        const std::string refusal = ScriptedReplica::answer(request, 503, "full");
        if (n % 3 == 0)
            return {.bytes = refusal, .beforeNext = isCopied ? refusal : ""};
        return {.bytes = ScriptedReplica::answer(request, 200, "fine")};
    };
    CHECK(statusOf("a1") == 503);
    CHECK(statusOf("a2") == 200);
    CHECK(statusOf("a3") == 200);
    CHECK(upstream.connections() == 1);
    isCopied = true;
    CHECK(statusOf("a4") == 503);
    CHECK(statusOf("a5") == 200);
    CHECK(upstream.connections() == 1);
    // The connection on which an answer too many came is not used again.
    CHECK(statusOf("a6") == 200);
    CHECK(upstream.connections() == 2);
}

// Guards against the copy of a failure without an id that is taken for the answer to another call,
// as of a service that repeats no ids.
TEST_CASE_FIXTURE(IdentifiedCallFixture, "httpClient_failureHasNoId_connectionIsNotUsedAgain")
{
    for (const int status : {400, 409, 429, 503}) {
        CAPTURE(status);
        const std::size_t before = upstream.requests().size();
        const std::string failure =
                fmt::format("HTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n", status);
        script = [=](const std::string &request, std::size_t n) -> Reply {
            if (n == before)
                return {.bytes = failure, .beforeNext = failure};
            return {.bytes = ScriptedReplica::answer(request, 200, "fine")};
        };
        CHECK(statusOf(fmt::format("a{}", status)) == status);
        CHECK(statusOf(fmt::format("b{}", status)) == 200);
    }
}
