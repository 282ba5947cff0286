#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkinloft {

/// \brief An upstream on a thread of its own that answers a request after its head and ends the
/// connection while the body, or a part of it, is unread.
class AbortingUpstream
{
public:
    enum class End {
        Finish, ///< Sends a FIN. The connection stays open until the client closes it.
        Reset,
        FinishAndReset,
    };

    struct Plan
    {
        std::string answer;
        std::size_t readBytes = 0; ///< Of the body, before the answer.
        End end = End::Finish;
        std::chrono::milliseconds untilReset{0}; ///< From the answer, or from the FIN.
        bool awaitsPermission = false; ///< The answer is sent only after permit().
        std::string first = {}; ///< Answers the first request of a connection, which has no body.
    };

    explicit AbortingUpstream(Plan plan)
        : m_plan(std::move(plan)), m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        // A receive buffer below all long bodies of the tests, so that a rest of them is not sent.
        const int receiveBuffer = 16 * 1024;
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        REQUIRE(bind(m_listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
        REQUIRE(listen(m_listener, 64) == 0);
        REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_thread = std::thread([this] {
            for (int fd = accept(m_listener, nullptr, nullptr); fd >= 0;
                 fd = accept(m_listener, nullptr, nullptr)) {
                ++m_connections;
                m_served.emplace_back([this, fd] { serve(fd); });
            }
        });
    }

    ~AbortingUpstream()
    {
        m_stops = true;
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        for (std::thread &it : m_served)
            it.join();
        close(m_listener);
    }

    AbortingUpstream(const AbortingUpstream &) = delete;
    AbortingUpstream &operator=(const AbortingUpstream &) = delete;

    const Plan &plan() const { return m_plan; }
    const std::string &address() const { return m_address; }
    std::size_t connections() const { return m_connections; }

    /// \brief Lets an upstream that awaits it send its answers.
    void permit() { m_isPermitted = true; }

    /// \returns the number of connections that were reset by the plan.
    std::size_t resets() const { return m_resets; }

private:
    /// Connections without a request, such as those of path probes, end with this upstream.
    void serve(int fd)
    {
        bool ends = m_plan.first.empty();
        while (readHead(fd)) {
            const std::string &answer = ends ? m_plan.answer : m_plan.first;
            if (ends) {
                readBody(fd);
                while (m_plan.awaitsPermission && !m_isPermitted && !m_stops)
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
            if (ends) {
                endConnection(fd);
                break;
            }
            ends = true;
        }
        close(fd);
        if (ends && m_plan.end != End::Finish)
            ++m_resets;
    }

    /// Reads just the head of the next request. \returns false if none arrives.
    bool readHead(int fd)
    {
        while (!m_stops) {
            std::array<char, 16 * 1024> buf{};
            const ssize_t n = recv(fd, buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
            if (n == 0)
                return false;
            const std::string text(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
            const std::size_t end = text.find("\r\n\r\n");
            if (end != std::string::npos)
                return recv(fd, buf.data(), end + 4, 0) > 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return false;
    }

    void readBody(int fd)
    {
        std::array<char, 16 * 1024> buf{};
        for (std::size_t left = m_plan.readBytes; left > 0;) {
            const ssize_t n = recv(fd, buf.data(), std::min(left, buf.size()), 0);
            if (n <= 0)
                return;
            left -= static_cast<std::size_t>(n);
        }
    }

    void endConnection(int fd)
    {
        if (m_plan.end != End::Reset)
            shutdown(fd, SHUT_WR);
        if (m_plan.end != End::Finish) {
            std::this_thread::sleep_for(m_plan.untilReset);
            const linger now{.l_onoff = 1, .l_linger = 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            return;
        }
        pollfd it{.fd = fd, .events = POLLRDHUP, .revents = 0};
        while (!m_stops && poll(&it, 1, PollMs) == 0) { }
    }

    static constexpr int PollMs = 10;

    Plan m_plan;
    int m_listener;
    std::string m_address;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::size_t> m_resets = 0;
    std::atomic<bool> m_isPermitted = false;
    std::atomic<bool> m_stops = false;
    std::vector<std::thread> m_served; ///< One for each connection.
    std::thread m_thread;
};

} // namespace catkinloft
