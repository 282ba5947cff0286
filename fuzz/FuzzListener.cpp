#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/RelayCodec.h"
#include "Request/RequestFraming.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace catkinloft;

namespace {

struct Request
{
    std::string method;
    std::string target;
    std::string body;

    bool operator==(const Request &) const = default;
};

/// \brief Reads requests by the grammar of RFC 9112 alone, without what it lets a receiver accept
/// beyond that.
class StrictReader
{
public:
    enum class State {
        Incomplete, ///< More bytes are needed.
        Unclear, ///< Not in the grammar, or one that receivers may read in several ways.
    };

    explicit StrictReader(std::string_view bytes) : m_rest(bytes) { }

    /// \returns the next request, if it is complete.
    std::optional<Request> next()
    {
        const std::string_view begin = m_rest;
        std::optional<Request> out = readRequest();
        if (!out)
            m_rest = begin;
        return out;
    }

    /// \returns why next() returned nothing.
    State state() const { return m_state; }

    /// \returns what was not read.
    std::string_view rest() const { return m_rest; }

private:
    std::optional<std::string_view> line()
    {
        const std::size_t end = m_rest.find("\r\n");
        if (end == std::string_view::npos) {
            m_state = State::Incomplete;
            return std::nullopt;
        }
        const std::string_view out = m_rest.substr(0, end);
        m_rest.remove_prefix(end + 2);
        const bool isPlain = std::all_of(out.begin(), out.end(), [](unsigned char c) {
            return (c >= 0x20 && c != 0x7f) || c == '\t';
        });
        if (!isPlain)
            return unclear<std::string_view>();
        return out;
    }

    std::optional<std::string_view> take(std::size_t n)
    {
        if (m_rest.size() < n) {
            m_state = State::Incomplete;
            return std::nullopt;
        }
        const std::string_view out = m_rest.substr(0, n);
        m_rest.remove_prefix(n);
        return out;
    }

    template<typename T>
    std::optional<T> unclear()
    {
        m_state = State::Unclear;
        return std::nullopt;
    }

    static std::optional<std::size_t> number(std::string_view text, int base)
    {
        std::size_t n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n, base);
        if (text.empty() || text.size() > 8 || ec != std::errc()
            || end != text.data() + text.size())
            return std::nullopt;
        return n;
    }

    std::optional<Request> readRequest()
    {
        const auto first = line();
        if (!first)
            return std::nullopt;
        constexpr std::string_view Version = " HTTP/1.1";
        const std::size_t mark = first->find(' ');
        if (!first->ends_with(Version) || mark >= first->size() - Version.size())
            return unclear<Request>();
        const std::size_t end = first->size() - Version.size();
        Request out{.method = std::string(first->substr(0, mark)),
                    .target = std::string(first->substr(mark + 1, end - mark - 1))};
        if (out.target.find(' ') != std::string::npos || !out.target.starts_with('/'))
            return unclear<Request>();
        std::optional<std::size_t> length;
        bool isChunked = false;
        for (auto it = line();; it = line()) {
            if (!it)
                return std::nullopt;
            if (it->empty())
                break;
            const std::size_t colon = it->find(": ");
            if (colon == std::string_view::npos || it->front() == ' ')
                return unclear<Request>();
            const std::string name(it->substr(0, colon));
            const std::string_view value = it->substr(colon + 2);
            if (strcasecmp(name.c_str(), "Content-Length") == 0) {
                if (length || !(length = number(value, 10)))
                    return unclear<Request>();
            } else if (strcasecmp(name.c_str(), "Transfer-Encoding") == 0) {
                if (isChunked || value != "chunked")
                    return unclear<Request>();
                isChunked = true;
            }
        }
        if (isChunked && length)
            return unclear<Request>();
        return isChunked ? readChunks(std::move(out))
                         : readBody(std::move(out), length.value_or(0));
    }

    std::optional<Request> readBody(Request out, std::size_t length)
    {
        const auto body = take(length);
        if (!body)
            return std::nullopt;
        out.body = *body;
        return out;
    }

    std::optional<Request> readChunks(Request out)
    {
        for (;;) {
            const auto size = line();
            if (!size)
                return std::nullopt;
            const auto n = number(*size, 16);
            if (!n)
                return unclear<Request>();
            const auto data = take(*n);
            const auto end = data ? line() : std::nullopt;
            if (!end)
                return std::nullopt;
            if (!end->empty()) // After the last chunk: a trailer.
                return unclear<Request>();
            out.body += *data;
            if (*n == 0)
                return out;
        }
    }

    std::string_view m_rest;
    State m_state = State::Incomplete;
};

[[noreturn]] void report(std::string_view what)
{
    std::fprintf(stderr, "%.*s\n", static_cast<int>(what.size()), what.data());
    std::abort();
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

/// \brief An upstream that records the requests that it reads, and reports bytes that are none.
class Recorder
{
public:
    explicit Recorder(EventLoop &loop) : m_loop(loop)
    {
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof address;
        m_listener = evconnlistener_new_bind(
                loop.base(),
                [](evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *arg) {
                    static_cast<Recorder *>(arg)->accepted(fd);
                },
                this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr *>(&address), length);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address),
                    &length);
        m_address = fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
    }

    const std::string &address() const { return m_address; }
    std::vector<Request> requests;

private:
    void accepted(int fd)
    {
        bufferevent *bev = bufferevent_socket_new(m_loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
                bev, [](bufferevent *it, void *arg) { static_cast<Recorder *>(arg)->read(it); },
                nullptr, [](bufferevent *it, short, void *) { bufferevent_free(it); }, this);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
    }

    void read(bufferevent *bev)
    {
        constexpr std::string_view Answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        evbuffer *in = bufferevent_get_input(bev);
        const std::size_t n = evbuffer_get_length(in);
        const std::string text(reinterpret_cast<const char *>(evbuffer_pullup(in, -1)), n);
        StrictReader reader(text);
        while (const auto request = reader.next()) {
            requests.push_back(*request);
            bufferevent_write(bev, Answer.data(), Answer.size());
        }
        if (reader.state() == StrictReader::State::Unclear)
            report(fmt::format("the upstream received bytes that are no request: {}",
                               reader.rest()));
        evbuffer_drain(in, n - reader.rest().size());
    }

    EventLoop &m_loop;
    evconnlistener *m_listener = nullptr;
    std::string m_address;
};

/// \brief A listener that forwards the requests of its callers to a recorder, as a router does.
class Front
{
public:
    Front()
    {
        for (m_port = 21'900; m_port < 22'900 && !m_server; ++m_port) {
            auto it = std::make_unique<HttpServer>(
                    m_loop,
                    HttpServer::Options{.address = fmt::format("127.0.0.1:{}", m_port),
                                        .limits = {.maxHeaderBytes = 4096, .maxBodyBytes = 4096}},
                    [this](const HttpExchangePtr &exchange) { handle(exchange); });
            if (it->listen())
                m_server = std::move(it);
        }
        if (!m_server)
            report("no port for the listener");
        --m_port;
    }

    /// Sends \a bytes on a new connection in pieces of \a piece bytes, and compares what was read.
    void play(std::string_view bytes, std::size_t piece)
    {
        m_handled.clear();
        m_forwarded.clear();
        m_recorder.requests.clear();
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        bindToNextAddress(fd);
        const sockaddr_in address = loopback(m_port);
        if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            if (errno != EINTR) // libFuzzer's alarm interrupts system calls.
                report(fmt::format("no connection to the listener: {}", std::strerror(errno)));
            close(fd);
            return;
        }
        for (std::size_t at = 0; at < bytes.size(); at += piece) {
            const std::string_view part = bytes.substr(at, piece);
            if (send(fd, part.data(), part.size(), MSG_NOSIGNAL) < 0)
                break;
            settle();
        }
        settle();
        // Leaves no connection in TIME_WAIT.
        const linger now{.l_onoff = 1, .l_linger = 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close(fd);
        settle();
        compare(bytes);
    }

private:
    /// Runs the loop until nothing has happened for some turns.
    void settle()
    {
        constexpr int QuietTurns = 4;
        constexpr int MaxTurns = 100'000;
        int quiet = 0;
        for (int i = 0; i < MaxTurns && (quiet < QuietTurns || m_pending > 0); ++i) {
            const std::size_t before = m_handled.size() + m_recorder.requests.size();
            m_loop.runOnce();
            quiet = m_handled.size() + m_recorder.requests.size() == before ? quiet + 1 : 0;
        }
    }

    /// Connections that the listener closes stay in TIME_WAIT; many callers of one address would
    /// run out of ports.
    void bindToNextAddress(int fd)
    {
        constexpr std::uint32_t Addresses = 200;
        m_caller = (m_caller + 1) % Addresses;
        sockaddr_in address = loopback(0);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK + m_caller);
        const int on = 1;
        setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
        if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
            report("no address for a caller");
    }

    void handle(const HttpExchangePtr &exchange)
    {
        const Request request{.method = exchange->method(),
                              .target = exchange->target(),
                              .body = std::string(exchange->body())};
        m_handled.push_back(request);
        const HttpHeaders headers = exchange->headers();
        if (framingFault(exchange->method(), exchange->target(), headers) != FramingFault::None) {
            exchange->closeAfterAnswer();
            return exchange->respond(400, {}, {});
        }
        m_forwarded.push_back(request);
        ++m_pending;
        m_client.fetch({.address = m_recorder.address(),
                        .method = exchange->method(),
                        .target = exchange->target(),
                        .headers = RelayCodec::endToEnd(headers),
                        .body = std::string(exchange->body()),
                        .timeout = std::chrono::seconds(2)},
                       [this, exchange](const Result<HttpAnswer> &it) {
                           --m_pending;
                           exchange->respond(it ? it.value().head.status : 502, {}, {});
                       });
    }

    void compare(std::string_view bytes) const
    {
        StrictReader reader(bytes);
        for (std::size_t i = 0; i < m_handled.size(); ++i) {
            const Request &it = m_handled[i];
            auto expected = reader.next();
            if (!expected)
                break;
            // The listener reads no body after HEAD, and refuses the request.
            if (it.method == "HEAD" && !std::exchange(expected->body, {}).empty()
                && i + 1 < m_handled.size())
                report(fmt::format("the body of '{} {}' was read as '{} {}'", it.method, it.target,
                                   m_handled[i + 1].method, m_handled[i + 1].target));
            if (*expected != it)
                report(fmt::format("'{} {}' ({} bytes) was read as '{} {}' ({} bytes)",
                                   expected->method, expected->target, expected->body.size(),
                                   it.method, it.target, it.body.size()));
        }
        if (m_recorder.requests != m_forwarded)
            report(fmt::format("{} requests were forwarded, and the upstream read {} that are not "
                               "the same",
                               m_forwarded.size(), m_recorder.requests.size()));
    }

    EventLoop m_loop;
    HttpClient m_client{m_loop};
    Recorder m_recorder{m_loop};
    std::unique_ptr<HttpServer> m_server;
    std::uint16_t m_port = 0;
    std::uint32_t m_caller = 0;
    std::vector<Request> m_handled;
    std::vector<Request> m_forwarded;
    int m_pending = 0;
};

constexpr std::array<std::string_view, 40> Tokens = {
        "GET ",
        "POST ",
        "PUT ",
        "PATCH ",
        "DELETE ",
        "HEAD ",
        "OPTIONS ",
        "TRACE ",
        "BREW ",
        "/a",
        "/a?",
        "/b?c=1",
        " HTTP/1.1\r\n",
        " HTTP/1.0\r\n",
        "\r\n",
        "\n",
        "Host: x\r\n",
        "Content-Length: 0\r\n",
        "Content-Length: 5\r\n",
        "Content-Length: 38\r\n",
        "Content-Length : 5\r\n",
        "content-length: 5\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Connection: Content-Length\r\n",
        "Connection: close\r\n",
        "Connection: Transfer-Encoding, X-A\r\n",
        "Expect: 100-continue\r\n",
        "X-A: b\r\n",
        " folded\r\n",
        "0\r\n\r\n",
        "5\r\nhello\r\n",
        "5;a=b\r\nhello\r\n",
        "0x5\r\nhello\r\n",
        "hello",
        "POST /a HTTP/1.1\r\nHost: x\r\n",
        "PATCH /a HTTP/1.1\r\nHost: x\r\n",
        "GET /c HTTP/1.1\r\nHost: x\r\nX-A: bcd\r\n\r\n",
        "Upgrade: h2c\r\n",
};

} // namespace

/// Guards against requests that the listener, or the upstream to which they are forwarded, reads in
/// another way than the caller sent them. Bytes of \a data stand for parts of requests; those
/// beyond the table stand for themselves.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static Front &front = *new Front; // Lives until the process ends.
    constexpr std::size_t MaxTokens = 200;
    constexpr std::array<std::size_t, 4> Pieces = {100'000, 1000, 37, 7};
    if (size < 2)
        return 0;
    std::string bytes;
    for (std::size_t i = 1; i < std::min(size, MaxTokens); ++i) {
        if (data[i] < Tokens.size())
            bytes += Tokens[data[i]];
        else
            bytes += static_cast<char>(data[i]);
    }
    front.play(bytes, Pieces[data[0] % Pieces.size()]);
    return 0;
}
