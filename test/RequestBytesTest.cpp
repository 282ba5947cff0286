#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "ScriptedReplica.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

/// An upstream that records every request as it reads it by its own framing.
struct RequestBytesFixture
{
    HttpCall upstreamCall(const std::string &method, const HttpHeaders &headers,
                          const std::string &body) const
    {
        return {.address = upstream.address(),
                .method = method,
                .target = "/a",
                .headers = headers,
                .body = body,
                .timeout = 2s};
    }

    /// Sends \a call on a kept connection. \returns its error, if it fails.
    std::optional<Error> send(HttpCall call)
    {
        std::optional<Result<void>> result;
        const HttpCallPtr handle = client.send(std::move(call), {.onEnd = [&](Result<void> it) {
                                                   result = std::move(it);
                                                   loop.stop();
                                               }});
        Timer limit(loop, [this] { loop.stop(); });
        limit.start(4s);
        loop.run();
        REQUIRE(result.has_value());
        return *result ? std::nullopt : std::optional<Error>(result->error());
    }

    EventLoop loop;
    HttpClient client{loop};
    std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    ScriptedReplica upstream{loop, [this](const std::string &, std::size_t) {
                                 return ScriptedReplica::Reply{.bytes = answer};
                             }};
};

/// \returns the body of \a request by its Content-Length.
std::string bodyOf(const std::string &request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

} // namespace

// Guards against requests whose body an upstream reads as another request, because their length is
// not stated or is not the one of the bytes that follow.
TEST_CASE_FIXTURE(RequestBytesFixture, "httpClient_eachMethodAndBody_framingIsThatOfTheBytes")
{
    const std::vector<std::string> bodies = {
            "", "a", "POST /b HTTP/1.1\r\nX-Request-Id: never-sent\r\nContent-Length: 0\r\n\r\n",
            std::string(72'000, 'x')};
    const std::vector<HttpHeaders> framings = {{},
                                               {{"Content-Length", "7"}},
                                               {{"content-length", "0"}},
                                               {{"Transfer-Encoding", "chunked"}}};
    std::size_t sent = 0;
    for (const char *method : {"GET", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "HEAD"}) {
        for (const std::string &body : bodies) {
            for (const HttpHeaders &framing : framings) {
                CAPTURE(method);
                CAPTURE(body.size());
                CAPTURE(framing.size());
                REQUIRE_FALSE(send(upstreamCall(method, framing, body)));
                REQUIRE(upstream.requests().size() == ++sent);
                const std::string &request = upstream.requests().back();
                CHECK(request.starts_with(std::string(method) + " /a HTTP/1.1\r\n"));
                CHECK(bodyOf(request) == body);
                CHECK(ScriptedReplica::headerOf(request, "Transfer-Encoding").empty());
            }
        }
    }
    CHECK(upstream.connections() == 1);
}

// Guards against a request that is sent with another method than the caller's.
TEST_CASE_FIXTURE(RequestBytesFixture, "httpClient_unknownMethod_isNotSent")
{
    const std::optional<Error> error = send(upstreamCall("BREW", {}, {}));
    REQUIRE(error);
    CHECK((error->verdict == Verdict::NotRun));
    CHECK(upstream.requests().empty());
}

// Guards against an interim answer that is passed on as the final one, while the final one is lost.
TEST_CASE_FIXTURE(RequestBytesFixture, "httpClient_interimAnswer_isNotTheFinalOne")
{
    const std::string final = answer;
    answer = "HTTP/1.1 100 Continue\r\n\r\n" + final;
    CHECK_FALSE(send(upstreamCall("GET", {}, {})));
    for (const char *status : {"102 Processing", "103 Early Hints"}) {
        answer = std::string("HTTP/1.1 ") + status + "\r\nLink: a\r\n\r\n" + final;
        const std::optional<Error> error = send(upstreamCall("GET", {}, {}));
        REQUIRE(error);
        CHECK((error->reason == Reason::UpstreamInvalid));
        CHECK((error->verdict == Verdict::MayHaveRun));
    }
}

namespace {

/// \brief An upstream on a thread of its own that answers each request after its head, before it
/// reads the body.
class EarlyUpstream
{
public:
    explicit EarlyUpstream(std::string answer)
        : m_answer(std::move(answer)), m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        REQUIRE(bind(m_listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
        REQUIRE(listen(m_listener, 8) == 0);
        REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_thread = std::thread([this] {
            for (int fd = accept(m_listener, nullptr, nullptr); fd >= 0;
                 fd = accept(m_listener, nullptr, nullptr)) {
                ++m_connections;
                m_fd = fd;
                serve(fd);
                m_fd = -1;
                close(fd);
            }
        });
    }

    ~EarlyUpstream()
    {
        m_reads = true;
        shutdown(m_listener, SHUT_RDWR);
        if (const int fd = m_fd; fd >= 0)
            shutdown(fd, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    EarlyUpstream(const EarlyUpstream &) = delete;
    EarlyUpstream &operator=(const EarlyUpstream &) = delete;

    const std::string &address() const { return m_address; }
    int connections() const { return m_connections; }

    /// \brief Lets the upstream read bodies, and all that follows.
    void readOn() { m_reads = true; }

    /// \returns the requests that were read whole, by their Content-Length.
    std::vector<std::string> requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    void serve(int fd)
    {
        std::string received;
        while (readUntil(fd, received,
                         [&] { return received.find("\r\n\r\n") != received.npos; })) {
            const std::size_t head = received.find("\r\n\r\n") + 4;
            const std::string length = ScriptedReplica::headerOf(received, "Content-Length");
            const std::size_t all = head + (length.empty() ? 0 : std::stoul(length));
            send(fd, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
            while (!m_reads)
                std::this_thread::sleep_for(1ms);
            if (!readUntil(fd, received, [&] { return received.size() >= all; }))
                return;
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(received.substr(0, all));
            received.erase(0, all);
        }
    }

    template<typename Condition>
    static bool readUntil(int fd, std::string &received, const Condition &condition)
    {
        std::array<char, 64 * 1024> buf{};
        while (!condition()) {
            const ssize_t n = recv(fd, buf.data(), buf.size(), 0);
            if (n <= 0)
                return false;
            received.append(buf.data(), static_cast<std::size_t>(n));
        }
        return true;
    }

    std::string m_answer;
    int m_listener;
    std::string m_address;
    std::atomic<int> m_connections = 0;
    std::atomic<int> m_fd = -1; ///< The connection that is being served.
    std::atomic<bool> m_reads = false;
    std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::thread m_thread;
};

/// More than the sockets of a connection hold.
constexpr std::size_t LongBody = 16 * 1024 * 1024;

std::string answerOf(std::size_t bytes)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
            + std::string(bytes, 'a');
}

struct EarlyAnswerFixture : RequestBytesFixture
{
    HttpCall callTo(const EarlyUpstream &it, std::size_t bytes) const
    {
        HttpCall out = upstreamCall("POST", {}, std::string(bytes, 'x'));
        out.address = it.address();
        return out;
    }

    void run(Duration time)
    {
        Timer timer(loop, [this] { loop.stop(); });
        timer.start(time);
        loop.run();
    }
};

} // namespace

// Guards against an answer that is lost, and against other bytes where the rest of a body is due,
// because the upstream answers before it has read the body.
TEST_CASE_FIXTURE(EarlyAnswerFixture, "httpClient_answerComesBeforeTheBodyIsRead_bothAreWhole")
{
    for (const std::size_t bytes : {std::size_t(10), std::size_t(500'000)}) {
        CAPTURE(bytes);
        EarlyUpstream early(answerOf(bytes));
        loop.after(300ms, [&] { early.readOn(); });
        CHECK_FALSE(send(callTo(early, LongBody)));
        CHECK_FALSE(send(callTo(early, 3)));
        run(100ms);
        const std::vector<std::string> requests = early.requests();
        REQUIRE(requests.size() == 2);
        CHECK(bodyOf(requests[0]) == std::string(LongBody, 'x'));
        CHECK(requests[1].starts_with("POST /a HTTP/1.1\r\n"));
        CHECK(bodyOf(requests[1]) == "xxx");
        CHECK(early.connections() == 1);
    }
}

// Guards against the rest of a body, or of an answer, that meets the next request on a connection
// whose call was ended early.
TEST_CASE_FIXTURE(EarlyAnswerFixture, "httpClient_callEndsBeforeItsBodyIsSent_nextUsesAnother")
{
    EarlyUpstream early(answerOf(10));
    HttpCallPtr ended = client.send(callTo(early, LongBody), {});
    run(200ms);
    ended.reset();
    HttpCall timed = callTo(early, LongBody);
    timed.timeout = 200ms;
    const std::optional<Error> error = send(std::move(timed));
    REQUIRE(error);
    CHECK((error->reason == Reason::UpstreamTimeout));
    early.readOn();
    CHECK_FALSE(send(callTo(early, 3)));
    run(100ms);
    const std::vector<std::string> requests = early.requests();
    REQUIRE(requests.size() == 1);
    CHECK(bodyOf(requests[0]) == "xxx");
    CHECK(client.idleConnections() == 1);
}
