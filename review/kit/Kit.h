#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

/// \brief Stand-ins and helpers of the review's scripts: HTTP over blocking sockets, child
/// processes, a record of what was sent and answered, and a small fleet of routers.
namespace review {

using Milliseconds = std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;
using Headers = std::vector<std::pair<std::string, std::string>>;

TimePoint now();

/// \returns milliseconds since the start of this process.
std::int64_t elapsedMs();

/// \brief Appends lines with a time to record.txt; safe to be called from all threads.
class Record
{
public:
    explicit Record(const std::string &file);
    void add(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

/// \returns a port of 127.0.0.1 on which nobody listens, outside of the range for outgoing
/// connections.
std::uint16_t freePort();

struct Message
{
    std::string startLine = {};
    Headers headers = {};
    std::string body = {};
    bool isComplete = false; ///< Head and body are whole by their framing.
    bool isUnframed = false; ///< The end of the connection ended the body.

    std::string header(std::string_view name) const;
    int status() const; ///< 0 if there is no status line.
    std::string method() const;
    std::string target() const;
};

/// \brief A connection with blocking calls that end at a deadline.
class Connection
{
public:
    explicit Connection(int fd = -1) : m_fd(fd) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// \param receiveBuffer size of the receive buffer in bytes; 0: the system's.
    bool open(std::uint16_t port, int receiveBuffer = 0);
    bool isOpen() const { return m_fd >= 0; }
    bool send(std::string_view bytes);

    /// Reads the next message. \param isAnswer whether a body without framing is allowed.
    Message read(TimePoint until, bool isAnswer);

    /// Reads a head up to its empty line. \returns it, or what came before the deadline or the end.
    std::string readHead(TimePoint until);

    /// Reads at most \a most bytes. \returns nothing at the deadline, an empty text at the end.
    std::optional<std::string> readSome(std::size_t most, TimePoint until);

    void close();

private:
    int m_fd;
    std::string m_buffer;
};

std::string requestText(const std::string &method, const std::string &target,
                        const Headers &headers, const std::string &body);

/// \brief Listens on a port of 127.0.0.1 and calls \a handle for each connection in a thread.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    Listener(std::uint16_t port, Handler handle);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

private:
    int m_fd;
    Handler m_handle;
    std::thread m_thread;
};

/// \brief A child process, killed at the end.
class Process
{
public:
    Process(const std::vector<std::string> &command, const std::string &logFile,
            std::vector<std::string> environment = {});
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;

    /// \returns the processor time that the process has used, in milliseconds.
    std::int64_t processorMs() const;
    std::size_t descriptors() const; ///< Open descriptors.
    bool isRunning();
    bool waitEnd(Milliseconds timeout);

private:
    pid_t m_pid = -1;
    bool m_ended = false;
};

struct ReplicaEntry
{
    std::string id;
    std::string service;
    std::uint16_t port = 0;
};

/// \brief The platform's store, and routers that are started by the command of the deploy file with
/// the settings of the site reading-desk.
class Fleet
{
public:
    static constexpr const char *Host = "desk.example";
    static constexpr const char *Key = "n2ctnfzs989anu6wsjnb";

    /// Calls std::_Exit(2) if the processes can't be started.
    Fleet(std::size_t routers, const std::vector<ReplicaEntry> &replicas, Record &record);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void startRouter(std::size_t i);
    Process &router(std::size_t i) { return *m_routers.at(i).process; }
    std::size_t size() const { return m_routers.size(); }
    std::uint16_t port(std::size_t i) const { return m_routers.at(i).caller; }
    bool isReady(std::size_t i) const;
    const std::string &folder() const { return m_folder; }

    /// \brief Writes the entry of a replica, which then writes it again with each heartbeat.
    void registerReplica(const ReplicaEntry &it, const std::string &state);

    /// \brief Ends the heartbeats of a replica that was killed. Its entry stays for now.
    void stopHeartbeats(const std::string &id);

    /// \brief Removes the entry of a replica that has left, or was silent for ExpiryTime.
    void removeReplica(const std::string &id);

    /// As `heartbeat-ms` of the pages, and three of them.
    static constexpr Milliseconds HeartbeatInterval{1200};
    static constexpr Milliseconds ExpiryTime{3600};

private:
    struct Router
    {
        std::uint16_t caller = 0;
        std::uint16_t readiness = 0;
        std::uint16_t directory = 0;
        std::uint16_t peer = 0;
        std::uint16_t metrics = 0;
        std::unique_ptr<Process> process;
    };

    bool writeEntry(const ReplicaEntry &it, const std::string &state);
    void beat();
    void writeSettings(std::size_t i) const;
    void writeConfig();
    bool writeRow(const std::string &table, const std::string &key,
                  const std::optional<std::string> &value) const;

    Record &m_record;
    std::string m_folder;
    std::uint16_t m_store = 0;
    std::unique_ptr<Process> m_storeProcess;
    std::vector<Router> m_routers;
    std::mutex m_entriesMutex;
    std::map<std::string, std::pair<ReplicaEntry, std::string>> m_entries; ///< With their states.
    int m_sequence = 0;
    std::atomic<bool> m_isEnding = false;
    std::thread m_heartbeats;
};

/// \returns the headers of a client's request.
Headers clientHeaders(const std::string &id, int deadlineMs);

/// \brief Runs a case and ends the process with its result, at the latest after 115 seconds.
int runCase(const std::function<int()> &body);

/// \returns whether the environment switches the disruption off.
bool isTroubleOff();

/// Ends with exit code 2: the case could not run.
[[noreturn]] void giveUp(const std::string &why);

} // namespace review
