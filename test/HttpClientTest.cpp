#include "Net/HttpClient.h"
#include "Net/EventLoop.h"
#include "Net/Timer.h"
#include "ScriptedReplica.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// An upstream that answers each call with bytes which it repeats for a long time.
struct EndlessAnswerFixture
{
    static constexpr std::size_t EndlessBytes = 8 * 1024 * 1024;
    static constexpr std::size_t MaxBodyBytes = 1024 * 1024;
    static constexpr Duration CallTimeout = 4s;

    /// Calls the upstream, which answers with \a begin and then \a repeated for a long time.
    /// \returns the error with which the call ends.
    Error errorOf(std::string_view begin, std::string_view repeated)
    {
        answer = begin;
        while (answer.size() < EndlessBytes)
            answer += repeated;
        std::optional<Result<void>> result;
        received = 0;
        heads = 0;
        const TimePoint sentAt = loop.now();
        const HttpCallPtr call =
                client.send({.address = upstream.address(),
                             .timeout = CallTimeout,
                             .maxBodyBytes = MaxBodyBytes,
                             .acceptsUnframed = true},
                            {.onHead = [this](const HttpHead &) { ++heads; },
                             .onData = [this](std::string_view data) { received += data.size(); },
                             .onEnd =
                                     [&](Result<void> it) {
                                         result = std::move(it);
                                         loop.stop();
                                     }});
        Timer limit(loop, [this] { loop.stop(); });
        limit.start(2 * CallTimeout);
        loop.run();
        elapsed = loop.now() - sentAt;
        REQUIRE(result.has_value());
        REQUIRE_FALSE(*result);
        return result->error();
    }

    static constexpr std::size_t MaxBufferedBytes = 32 * 1024 * 1024;

    EventLoop loop;
    HttpClient client{loop, nullptr, {}, MaxBufferedBytes};
    std::string answer;
    ScriptedReplica upstream{loop, [this](const std::string &, std::size_t) {
                                 return ScriptedReplica::Reply{.bytes = answer};
                             }};
    std::size_t received = 0; ///< Bytes of the body of the last answer.
    int heads = 0; ///< Heads of the last answer.
    Duration elapsed = Duration::zero();
};

constexpr std::string_view ChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a process that runs out of memory, or a call that waits until its deadline,
// because an upstream sends bytes that are no answer until the connection is closed.
TEST_CASE_FIXTURE(EndlessAnswerFixture, "httpClient_answerNeverEnds_callEndsAtItsLimit")
{
    struct Form
    {
        std::string_view name;
        std::string_view begin;
        std::string_view repeated;
    };
    const std::string chunk = "1000\r\n" + std::string(0x1000, 'a') + "\r\n";
    const std::vector<Form> forms = {
            {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"interim heads with headers", "", "HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n"},
            {"first line", "HTTP/1.1 200 ", "aaaaaaaa"},
            {"no HTTP at all", "", "aaaaaaaa"},
            {"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
            {"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa"},
            {"chunks", ChunkedHead, chunk},
            {"size line of a chunk", ChunkedHead, "000000000"},
            {"extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
             "aaaaaaaa"},
            {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
             "X-A: b\r\n"},
    };
    for (const Form &it : forms) {
        const Error error = errorOf(it.begin, it.repeated);
        INFO(it.name, ": ", error.detail);
        CHECK((error.reason == Reason::UpstreamInvalid));
        CHECK((error.verdict == Verdict::MayHaveRun));
        CHECK(elapsed < CallTimeout / 2);
        CHECK(received <= MaxBodyBytes);
        CHECK(heads <= 1);
    }
}

// Guards against a process that is killed because many answers are buffered at a time, each of them
// within its own limit.
TEST_CASE_FIXTURE(EndlessAnswerFixture,
                  "httpClient_manyAnswersNeverEnd_sumIsBoundedAndShortOnesFit")
{
    constexpr int Calls = 8;
    answer = "HTTP/1.1 200 OK\r\n\r\n" + std::string(EndlessBytes, 'a');
    std::vector<HttpCallPtr> calls;
    calls.reserve(Calls);
    int ended = 0;
    std::size_t highest = 0;
    for (int i = 0; i < Calls; ++i) {
        calls.push_back(client.send(
                {.address = upstream.address(), .timeout = CallTimeout, .acceptsUnframed = true},
                {.onData =
                         [&](std::string_view) {
                             highest = std::max(highest, client.bufferedBytes());
                         },
                 .onEnd =
                         [&](const Result<void> &it) {
                             REQUIRE_FALSE(it);
                             CHECK((it.error().reason == Reason::UpstreamInvalid));
                             if (++ended == Calls)
                                 loop.stop();
                         }}));
    }
    ScriptedReplica sound{loop, [](const std::string &request, std::size_t) {
                              return ScriptedReplica::Reply{
                                      .bytes = ScriptedReplica::answer(request, 200, "ok")};
                          }};
    int served = 0;
    std::function<void()> callSound = [&] {
        client.fetch({.address = sound.address(), .timeout = CallTimeout},
                     [&](const Result<HttpAnswer> &it) {
                         REQUIRE(it);
                         ++served;
                         callSound();
                     });
    };
    callSound();
    loop.run();
    CHECK(highest > MaxBufferedBytes / 2);
    CHECK(highest <= MaxBufferedBytes + 1024 * 1024);
    CHECK(served > 0);
    calls.clear();
    CHECK(client.bufferedBytes() < 1024);
}

// Guards against interim answers that are taken for the answer or for its progress.
TEST_CASE_FIXTURE(EndlessAnswerFixture,
                  "httpClient_interimAnswersComeFirst_onlyFinalHeadIsReported")
{
    answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    std::vector<int> statuses;
    std::string body;
    bool succeeded = false;
    const HttpCallPtr call =
            client.send({.address = upstream.address(), .timeout = CallTimeout},
                        {.onHead = [&](const HttpHead &it) { statuses.push_back(it.status); },
                         .onData = [&](std::string_view data) { body += data; },
                         .onEnd =
                                 [&](const Result<void> &it) {
                                     succeeded = it.has_value();
                                     loop.stop();
                                 }});
    loop.run();
    CHECK(succeeded);
    CHECK(statuses == std::vector<int>{200});
    CHECK(body == "ok");
}

// Guards against taking a replica that crashes within a head for one that sends invalid answers.
TEST_CASE_FIXTURE(EndlessAnswerFixture, "httpClient_connectionEndsWithinHead_isBroken")
{
    for (const char *begin : {"HTTP", "HTTP/1.1 200 OK\r\nX-A: b\r\n"}) {
        ScriptedReplica closing{loop, [begin](const std::string &, std::size_t) {
                                    return ScriptedReplica::Reply{
                                            .bytes = begin, .end = ScriptedReplica::End::Close};
                                }};
        std::optional<Error> error;
        const HttpCallPtr call = client.send({.address = closing.address(), .timeout = CallTimeout},
                                             {.onEnd = [&](const Result<void> &it) {
                                                 if (!it)
                                                     error = it.error();
                                                 loop.stop();
                                             }});
        loop.run();
        REQUIRE(error);
        CHECK((error->reason == Reason::UpstreamBroken));
    }
}

// Guards against buffering what an upstream sends without end on an idle connection.
TEST_CASE_FIXTURE(EndlessAnswerFixture, "httpClient_bytesComeWithoutRequest_connectionIsClosed")
{
    constexpr std::size_t Unsolicited = 32 * 1024 * 1024;
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    int answered = 0;
    const auto call = [&] {
        client.fetch({.address = upstream.address(), .timeout = CallTimeout},
                     [&](const Result<HttpAnswer> &it) {
                         answered += it ? 1 : 0;
                         loop.stop();
                     });
        loop.run();
    };
    call();
    upstream.sendUnsolicited(std::string(Unsolicited, 'a'));
    Timer timer(loop, [this] { loop.stop(); });
    timer.start(500ms);
    loop.run();
    CHECK(upstream.openConnections() == 0);
    call();
    CHECK(answered == 2);
    CHECK(upstream.connections() == 2);
}

// Guards against a fetch that is never freed, or that reports to a client which no longer exists.
TEST_CASE_FIXTURE(EndlessAnswerFixture, "httpClient_isDestroyedDuringFetch_callEndsWithoutReport")
{
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart";
    const auto token = std::make_shared<int>();
    bool reported = false;
    {
        HttpClient shortLived(loop);
        shortLived.fetch({.address = upstream.address(), .timeout = 200ms},
                         [token, &reported](const Result<HttpAnswer> &) { reported = true; });
        Timer timer(loop, [this] { loop.stop(); });
        timer.start(100ms);
        loop.run();
        REQUIRE(upstream.openConnections() == 1);
    }
    CHECK(token.use_count() == 1);
    Timer timer(loop, [this] { loop.stop(); });
    timer.start(300ms);
    loop.run();
    CHECK_FALSE(reported);
    CHECK(upstream.openConnections() == 0);
}

namespace {

/// \brief An upstream on a thread of its own, which answers while the client's loop stands still.
class ThreadedUpstream
{
public:
    /// Accepts \a calls connections and answers all of them with \a answer after answerAll().
    ThreadedUpstream(std::size_t calls, std::string answer)
        : m_calls(calls), m_answer(std::move(answer)), m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        REQUIRE(bind(m_listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
        REQUIRE(listen(m_listener, static_cast<int>(calls)) == 0);
        REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_thread = std::thread([this] { serve(); });
    }

    ~ThreadedUpstream()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_mayAnswer = true;
        m_thread.join();
        for (const int it : m_connections)
            close(it);
        close(m_listener);
    }

    ThreadedUpstream(const ThreadedUpstream &) = delete;
    ThreadedUpstream &operator=(const ThreadedUpstream &) = delete;

    const std::string &address() const { return m_address; }

    /// \returns whether all requests have arrived.
    bool hasReceivedAll() const { return m_received == m_calls; }

    /// \brief Returns when all answers wait in the sockets.
    void answerAll()
    {
        m_mayAnswer = true;
        while (m_answered < m_calls)
            std::this_thread::sleep_for(1ms);
    }

private:
    void serve()
    {
        for (std::size_t i = 0; i < m_calls; ++i) {
            const int fd = accept(m_listener, nullptr, nullptr);
            if (fd < 0)
                return;
            m_connections.push_back(fd);
            std::string request;
            char buf[1024];
            while (request.find("\r\n\r\n") == std::string::npos) {
                const ssize_t n = recv(fd, buf, sizeof(buf), 0);
                if (n <= 0)
                    return;
                request.append(buf, static_cast<std::size_t>(n));
            }
            ++m_received;
        }
        while (!m_mayAnswer)
            std::this_thread::sleep_for(1ms);
        for (const int it : m_connections) {
            send(it, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
            ++m_answered;
        }
    }

    std::size_t m_calls;
    std::string m_answer;
    int m_listener;
    std::string m_address;
    std::vector<int> m_connections;
    std::atomic<std::size_t> m_received = 0;
    std::atomic<std::size_t> m_answered = 0;
    std::atomic<bool> m_mayAnswer = false;
    std::thread m_thread;
};

/// Calls whose answers arrive while the loop of the client stands still for longer than a time-out.
struct StandstillFixture
{
    static constexpr std::size_t Calls = 60;
    static constexpr Duration Limit = 1s;
    static constexpr Duration Standstill = 1500ms;

    /// \returns the number of calls with a complete answer.
    std::size_t answeredOf(const HttpCall &call)
    {
        std::size_t answered = 0;
        std::size_t ended = 0;
        std::vector<HttpCallPtr> calls;
        for (std::size_t i = 0; i < Calls; ++i) {
            calls.push_back(client.send(call, {.onEnd = [&](const Result<void> &result) {
                                            answered += result ? 1 : 0;
                                            if (++ended == Calls)
                                                loop.stop();
                                        }}));
        }
        const std::function<void()> standStill = [&] {
            if (!upstream.hasReceivedAll())
                return loop.after(1ms, standStill);
            upstream.answerAll();
            std::this_thread::sleep_for(Standstill);
        };
        standStill();
        loop.run();
        return answered;
    }

    EventLoop loop;
    HttpClient client{loop};
    std::string body = std::string(24 * 1024, 'a');
    ThreadedUpstream upstream{Calls,
                              "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                                      + "\r\n\r\n" + body};
};

} // namespace

// Guards against answers that are given up although they wait in the sockets: the process stood
// still for longer than the time-outs of its calls.
TEST_CASE_FIXTURE(StandstillFixture, "httpClient_standsStillBeyondTimeout_waitingAnswersAreTaken")
{
    CHECK(answeredOf({.address = upstream.address(), .timeout = Limit}) == Calls);
}

TEST_CASE_FIXTURE(StandstillFixture,
                  "httpClient_standsStillBeyondProgressTimeout_waitingAnswersAreTaken")
{
    CHECK(answeredOf({.address = upstream.address(), .progressTimeout = Limit}) == Calls);
}

// Guards against replicas that count as unreachable because the process stood still while their
// connections were opened.
TEST_CASE_FIXTURE(StandstillFixture,
                  "httpClient_standsStillBeyondConnectTimeout_establishedConnectionsAreUsed")
{
    loop.post([] { std::this_thread::sleep_for(Standstill); });
    CHECK(answeredOf({.address = upstream.address(), .connectTimeout = Limit}) == Calls);
}

// Guards against upstreams that count as silent although the process stood still before it had sent
// their requests.
TEST_CASE_FIXTURE(StandstillFixture,
                  "httpClient_standsStillBeforeRequestIsSent_isNoSilenceOfTheUpstream")
{
    loop.post([] { std::this_thread::sleep_for(Standstill); });
    CHECK(answeredOf({.address = upstream.address(), .progressTimeout = Limit}) == Calls);
}

// Guards against an answer that reaches the caller as complete although a part of it is missing,
// because handling that part failed.
TEST_CASE_FIXTURE(EndlessAnswerFixture, "httpClient_receiverThrows_callFailsAndOthersGoOn")
{
    const std::vector<std::string> forms = {
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n"};
    for (const std::string &form : forms) {
        for (const bool isThrowing : {true, false}) {
            answer = form;
            std::optional<Result<void>> result;
            const HttpCallPtr call =
                    client.send({.address = upstream.address(), .timeout = CallTimeout},
                                {.onData =
                                         [&](std::string_view) {
                                             if (isThrowing)
                                                 throw std::runtime_error("unexpected data");
                                         },
                                 .onEnd =
                                         [&](Result<void> it) {
                                             result = std::move(it);
                                             loop.stop();
                                         }});
            Timer limit(loop, [this] { loop.stop(); });
            limit.start(2 * CallTimeout);
            loop.run();
            REQUIRE(result.has_value());
            CHECK(result->has_value() != isThrowing);
        }
    }
}

// Guards against a process that runs out of memory while no socket can be bound for its calls:
// evhttp keeps no such request and doesn't free it either.
TEST_CASE("httpClient_sourceAddressUnusable_failedCallsLeaveNoMemory")
{
    constexpr int Calls = 200;
    constexpr std::size_t BodyBytes = 100'000;
    EventLoop loop;
    // Of a network for documentation, which no machine has.
    HttpClient client{loop, nullptr, "192.0.2.1"};
    const auto callOnce = [&] {
        bool hasEnded = false;
        const HttpCallPtr call = client.send(
                {.address = "127.0.0.1:9", .method = "POST", .body = std::string(BodyBytes, 'a')},
                {.onEnd = [&](const Result<void> &it) {
                    CHECK((it.error().reason == Reason::UpstreamUnreachable));
                    CHECK((it.error().verdict == Verdict::NotRun));
                    hasEnded = true;
                }});
        for (int i = 0; i < 1000 && !hasEnded; ++i)
            loop.runOnce();
        REQUIRE(hasEnded);
    };
    callOnce();
    const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    for (int i = 0; i < Calls; ++i)
        callOnce();
    loop.runOnce();
    const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
    CHECK(after < before + Calls * BodyBytes / 10);
}
