#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace catkinloft::standin {

/// \brief Connections that all send the same bytes, from one thread and without blocking. They stay
/// open until this object is destroyed.
class Crowd
{
public:
    /// What each connection sends. `{n}` in #begin stands for the number of the connection.
    struct Script
    {
        std::string begin;
        std::string repeated = {};
        std::size_t repeats = 0;
        std::string end = {};
        /// Whether the rest is sent only after the first bytes of an answer.
        bool awaitsAnswer = false;
        bool reads = true; ///< Whether answers are read.
    };

    struct Options
    {
        std::string address; ///< `ip:port`.
        int connections = 0;
        Script script = {};
    };

    /// \brief Opens the connections. Opens no more of them after the listener has left one waiting.
    explicit Crowd(Options options);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// \brief Sends and reads what the sockets take.
    /// \returns whether any connection made progress.
    bool poll();

    /// \brief Sends a further \a text on each connection that is open, as far as its socket takes
    /// it.
    void sendMore(const std::string &text);

    /// \returns whether each connection has sent its script or was closed by the listener.
    bool isSent() const;

    std::uint16_t port() const { return m_port; }
    int opened() const { return static_cast<int>(m_connections.size()); }
    int closed() const; ///< Number of connections that the listener has closed.
    double sentBytes() const;

private:
    struct Connection
    {
        int fd = -1;
        std::string begin = {};
        std::size_t sent = 0;
        bool isAnswered = false;
        bool isClosed = false;
    };

    int open() const;
    std::size_t length(const Connection &it) const;
    bool send(Connection &it) const;
    bool read(Connection &it) const;

    Options m_options;
    std::uint16_t m_port = 0;
    std::vector<Connection> m_connections;
    double m_sentMore = 0; ///< Bytes of sendMore().
};

} // namespace catkinloft::standin
