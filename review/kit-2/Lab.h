#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace review {

/// \returns the seconds of the steady clock since the first call.
double seconds();

void sleepFor(double time);

/// Opens the record of the case; \sa say
void openRecord(const std::string &file);

/// Writes a line with the time to the record and to standard output.
void say(const std::string &line);

/// \returns whether the disruption takes place.
bool hasTrouble();

/// \returns a loopback port that nothing listens on.
int freePort();

std::string addressOf(int port);

/// \returns a connected socket, -1 if there is no connection.
int connectTo(const std::string &address);

/// \returns a listening socket; waits for the port if it is still taken.
int listenAt(int port);

/// \returns whether all of \a text was written.
bool writeAll(int fd, std::string_view text);

/// An HTTP message, read as far as it arrived.
struct Message
{
    std::string start; ///< Request or status line; empty if no head arrived.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    bool isComplete = false; ///< By its own framing; an answer without framing by an orderly end.

    int status() const;
    std::string header(const std::string &name) const;
};

/// \brief Reads messages from a connection, one after the other.
class Reader
{
public:
    explicit Reader(int fd) : m_fd(fd) { }

    /// \param isAnswer whether the end of the connection ends a message without framing.
    Message next(bool isAnswer, double timeout = 20);

private:
    bool more(double until);
    std::string take(std::size_t n, double until, bool &isWhole);
    bool takeLine(std::string &line, double until);

    int m_fd;
    std::string m_buffer;
    bool m_isReset = false;
};

/// Sends one request on a new connection and reads its answer.
Message call(const std::string &address, const std::string &method, const std::string &target,
             const std::vector<std::pair<std::string, std::string>> &headers = {},
             const std::string &body = {}, double timeout = 20);

/// \brief A process that the case started; killed at the end.
class Process
{
public:
    Process() = default;
    /// \param inherited descriptor that the process shares with this one; -1: none.
    Process(const std::vector<std::string> &command, const std::string &logFile,
            const std::vector<std::string> &environment = {}, int inherited = -1);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;

    void send(int signal) const;
    void kill();
    bool isRunning();
    /// \returns whether the process has ended by itself within \a time.
    bool waitForEnd(double time);

private:
    pid_t m_pid = -1;
};

/// \brief The platform's store, routers and their settings, as on a small deployment.
class Lab
{
public:
    struct Router
    {
        std::string caller;
        std::string ready;
        std::string settings;
        std::string log;
        Process process;
    };

    /// \param self program of this case, for replicas in processes of their own.
    Lab(std::string self, int routers);
    ~Lab();
    Lab(const Lab &) = delete;
    Lab &operator=(const Lab &) = delete;

    /// Writes a row as the operator or a replica does; without a value it is removed.
    void writeRow(const std::string &table, const std::string &key, const std::string &value);
    void removeRow(const std::string &table, const std::string &key);
    /// Registers a replica of \a service.
    void registerReplica(const std::string &id, const std::string &service, int port);
    /// Writes a configuration with the routes /calls/ (not idempotent), /reads/ (idempotent) and
    /// /streams/ (resumable).
    void writeConfig();

    void startRouters();
    void startRouter(std::size_t i);
    /// Waits until the router answers that it is ready.
    bool waitUntilReady(std::size_t i, double time = 10);

    /// Starts this program again with \a arguments.
    Process startSelf(const std::vector<std::string> &arguments, int inherited = -1);
    /// \returns the log of the \a n-th process that startSelf() has started, from 1.
    std::string selfLog(int n) const;

    std::string folder() const { return m_folder; }
    std::vector<Router> &routers() { return m_routers; }

private:
    std::string settingsText(const Router &router, std::size_t i) const;

    std::string m_self;
    std::string m_folder;
    std::string m_store;
    Process m_storeProcess;
    std::vector<Router> m_routers;
    int m_version = 0;
    int m_logs = 0;
};

/// Headers of a caller's request.
std::vector<std::pair<std::string, std::string>> callerHeaders(const std::string &id,
                                                               int deadlineMs);

/// \brief Serves the connections of the socket \a listener in threads until the process ends.
void serve(int listener, const std::function<void(int fd)> &connection);

/// Answers what is not meant for replica \a id, or is no caller's request. \returns whether it did.
bool refusedAsReplica(int fd, const Message &request, const std::string &id);

} // namespace review
