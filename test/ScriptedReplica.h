#pragma once

#include "Net/EventLoop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace catkinloft {

/// \brief A replica that answers each request with bytes from a test's script, valid or not, and
/// records the requests.
class ScriptedReplica
{
public:
    enum class End {
        Keep, ///< The connection stays open.
        Close,
        Reset,
        Crash, ///< All connections are reset and the listener is closed.
        Exit, ///< All connections and the listener are closed.
    };

    struct Reply
    {
        std::string bytes = {};
        End end = End::Keep;
        std::string beforeNext = {}; ///< Sent in front of the next answer on the same connection.
        std::string later = {}; ///< Sent on the same connection some milliseconds later.
    };

    /// \param request head and body as received.
    /// \param n number of earlier requests.
    using Script = std::function<Reply(const std::string &request, std::size_t n)>;

    ScriptedReplica(EventLoop &loop, Script script);
    ~ScriptedReplica();
    ScriptedReplica(const ScriptedReplica &) = delete;
    ScriptedReplica &operator=(const ScriptedReplica &) = delete;

    const std::string &address() const { return m_address; }
    const std::vector<std::string> &requests() const { return m_requests; }

    /// \returns the number of connections accepted so far.
    int connections() const { return m_connections; }

    /// \returns the number of open connections.
    std::size_t openConnections() const { return m_open.size(); }

    /// \brief Sends \a bytes on every open connection, whether or not a request is pending.
    void sendUnsolicited(const std::string &bytes);

    /// \returns the value of the request header \a name, empty if it is missing.
    static std::string headerOf(const std::string &request, const std::string &name);

    /// \returns a complete answer to \a request with its id and a signature.
    static std::string answer(const std::string &request, int status, const std::string &body,
                              const std::string &headers = {});

    /// \returns the head of a chunked stream that answers \a request.
    static std::string streamHead(const std::string &request);

    /// \returns events \a from to \a to as one chunk each.
    static std::string events(int from, int to);

    /// \returns the last chunk of a stream.
    static std::string streamEnd() { return "0\r\n\r\n"; }

private:
    void accepted(int fd);
    void readable(bufferevent *bev);
    void close(bufferevent *bev, End end);
    void terminate(End end); ///< Closes the listener, and all connections in the way of \a end.

    EventLoop &m_loop;
    Script m_script;
    evconnlistener *m_listener = nullptr;
    std::string m_address;
    std::vector<std::string> m_requests;
    std::vector<bufferevent *> m_open;
    std::map<bufferevent *, std::string> m_beforeNext; ///< \sa Reply::beforeNext
    int m_connections = 0;
};

} // namespace catkinloft
