#pragma once

#include "Base/Clock.h"
#include "Net/Timer.h"

#include <cstddef>
#include <list>
#include <memory>

struct event;

namespace catkinloft {
class EventLoop;
}

namespace catkinloft::internal {

/// \brief Closes connections so that their last answer arrives although the caller is still
/// sending.
///
/// A socket that is closed with unread bytes, or receives bytes after that, resets the connection,
/// and the reset discards what the caller has not received yet. So only the sending side is closed
/// at first, and what arrives is discarded until the caller closes its side, too, or makes no
/// progress for some seconds, or has sent more than a request takes.
class LingeringClose
{
public:
    explicit LingeringClose(EventLoop &loop);
    ~LingeringClose();
    LingeringClose(const LingeringClose &) = delete;
    LingeringClose &operator=(const LingeringClose &) = delete;

    /// \brief Closes the sending side of the socket \a fd and keeps a descriptor of its own. The
    /// caller closes \a fd. Without a further descriptor, nothing is kept.
    void add(int fd);

    /// \brief Resets the connection of the socket \a fd once the caller has received what was sent,
    /// so that it doesn't take the end of the connection for the end of an answer. The descriptor
    /// \a fd refers to no connection any more then, and no event may be pending on it. Without a
    /// further descriptor, the connection is reset at once.
    void addReset(int fd);

    /// \returns the number of sockets whose last answer has not been received completely.
    std::size_t pendingAnswers() const;

private:
    struct Socket
    {
        LingeringClose *owner;
        int fd;
        event *readable;
        TimePoint checkedAt;
        std::size_t unacknowledged; ///< At that time.
        std::size_t discarded; ///< Bytes that have arrived.
        bool isReset;
    };
    using Sockets = std::list<Socket>;

    void keep(int own, bool isReset);
    static int takeSocket(int fd);
    void read(Socket &it);
    void remove(Sockets::iterator it);
    void checkProgress();
    void checkResets();

    EventLoop &m_loop;
    Sockets m_sockets; ///< By time of the last check.
    Timer m_timer;
    Timer m_resetTimer;
};

} // namespace catkinloft::internal
