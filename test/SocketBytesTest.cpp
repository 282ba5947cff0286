#include "Net/internal/SocketBytes.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

using namespace catkinloft::internal;

namespace {

/// A pair of local sockets. What they receive can only be copied: unlike TCP on Linux, they have no
/// way of discarding it within the system.
struct LocalSockets
{
    LocalSockets() { REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, fds.data()) == 0); }
    ~LocalSockets()
    {
        for (const int fd : fds)
            close(fd);
    }
    LocalSockets(const LocalSockets &) = delete;
    LocalSockets &operator=(const LocalSockets &) = delete;

    int receiver() const { return fds[0]; }
    void send(const std::string &text) const
    {
        REQUIRE(write(fds[1], text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    }
    void finish() const { REQUIRE(shutdown(fds[1], SHUT_WR) == 0); }

    std::array<int, 2> fds{};
};

} // namespace

// Guards against a process that ends because it lets the system write what it discards to a null
// pointer. Where system calls are handled within the process, that is a fault, not an error.
TEST_CASE_FIXTURE(LocalSockets, "discardReceived_systemCopiesWhatItDiscards_bytesAreDiscarded")
{
    send(std::string(98, 'a'));
    CHECK(discardReceived(receiver()).isOpen);
    CHECK_FALSE(hasUnreadBytes(receiver()));
}

// Guards against bytes that stay in the socket, so that its close resets the connection.
TEST_CASE_FIXTURE(LocalSockets, "discardReceived_moreThanOneBufferWaits_allIsDiscarded")
{
    send(std::string(150'000, 'a'));
    const Discarded it = discardReceived(receiver());
    CHECK(it.isOpen);
    CHECK(it.bytes == 150'000);
    CHECK_FALSE(hasUnreadBytes(receiver()));
}

// Guards against an event loop that discards for one caller only, which sends as fast as it is
// read.
TEST_CASE_FIXTURE(LocalSockets, "discardReceived_moreWaitsThanIsAskedFor_restStays")
{
    send(std::string(150'000, 'a'));
    const Discarded it = discardReceived(receiver(), 1000);
    CHECK(it.isOpen);
    CHECK(it.bytes < 150'000);
    CHECK(hasUnreadBytes(receiver()));
}

TEST_CASE_FIXTURE(LocalSockets, "discardReceived_peerEndsBehindItsBytes_endIsReported")
{
    send("abc");
    finish();
    CHECK_FALSE(discardReceived(receiver()).isOpen);
    CHECK_FALSE(hasUnreadBytes(receiver()));
}

TEST_CASE_FIXTURE(LocalSockets, "discardReceived_nothingHasArrived_connectionIsOpen")
{
    CHECK(discardReceived(receiver()).isOpen);
}
