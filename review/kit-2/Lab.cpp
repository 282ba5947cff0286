#include "Lab.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Host = "h.example";
constexpr const char *Key = "key-1";

std::ofstream &record()
{
    static std::ofstream out;
    return out;
}

sockaddr_in loopback(int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

/// \returns \a text as a string of JSON.
std::string quoted(const std::string &text)
{
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out + '"';
}

std::string route(const std::string &name, const std::string &kind, const std::string &service,
                  bool isResumable, int attempts)
{
    return R"({"name":")" + name + R"(","host":")" + Host + R"(","prefix":"/)" + name
            + R"(/","kind":")" + kind + R"(","service":")" + service
            + R"(","target-latency-ms":800,"priority":1,"no-auth":false,"gap-aim-ms":400,)"
            + R"("timeout-ms":15000,"stream-resume":)" + (isResumable ? "true" : "false")
            + R"(,"max-attempts":)" + std::to_string(attempts) + "}";
}

} // namespace

double seconds()
{
    using Clock = std::chrono::steady_clock;
    static const Clock::time_point begin = Clock::now();
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

void sleepFor(double time)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

void openRecord(const std::string &file)
{
    record().open(file);
}

void say(const std::string &line)
{
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f  ", seconds());
    std::printf("%s%s\n", time.data(), line.c_str());
    std::fflush(stdout);
    record() << time.data() << line << std::endl;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

int freePort()
{
    // Below the ports that the system draws for outgoing connections.
    constexpr int First = 20000;
    constexpr int Last = 32000;
    static std::mt19937 random(std::random_device{}());
    static std::set<int> drawn;
    for (int i = 0; i < 1000; ++i) {
        const int port = std::uniform_int_distribution<int>(First, Last)(random);
        if (!drawn.insert(port).second)
            continue;
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree =
                bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        close(fd);
        if (isFree)
            return port;
    }
    throw std::runtime_error("no free port");
}

std::string addressOf(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

int connectTo(const std::string &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = loopback(std::stoi(address.substr(address.find(':') + 1)));
    if (connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0)
        return fd;
    close(fd);
    return -1;
}

int listenAt(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    for (int i = 0; bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0;
         ++i) {
        if (i == 200)
            throw std::runtime_error("cannot bind port " + std::to_string(port));
        sleepFor(0.01);
    }
    listen(fd, 128);
    return fd;
}

bool writeAll(int fd, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t n = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

int Message::status() const
{
    return start.starts_with("HTTP/") && start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}

std::string Message::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

bool Reader::more(double until)
{
    const double left = until - seconds();
    pollfd it{.fd = m_fd, .events = POLLIN, .revents = 0};
    if (left <= 0 || poll(&it, 1, static_cast<int>(left * 1000) + 1) <= 0) {
        m_isReset = true; // Counts as no orderly end.
        return false;
    }
    std::array<char, 65536> buf{};
    const ssize_t n = recv(m_fd, buf.data(), buf.size(), 0);
    m_isReset = m_isReset || n < 0;
    if (n <= 0)
        return false;
    m_buffer.append(buf.data(), static_cast<std::size_t>(n));
    return true;
}

std::string Reader::take(std::size_t n, double until, bool &isWhole)
{
    while (m_buffer.size() < n && more(until)) { }
    isWhole = m_buffer.size() >= n;
    std::string out = m_buffer.substr(0, n);
    m_buffer.erase(0, n);
    return out;
}

bool Reader::takeLine(std::string &line, double until)
{
    std::size_t end = 0;
    while ((end = m_buffer.find('\n')) == std::string::npos) {
        if (!more(until))
            return false;
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 1);
    if (line.ends_with('\r'))
        line.pop_back();
    return true;
}

Message Reader::next(bool isAnswer, double timeout)
{
    const double until = seconds() + timeout;
    Message out;
    std::string line;
    std::string start;
    if (!takeLine(start, until))
        return out;
    while (takeLine(line, until) && !line.empty()) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos)
            out.headers[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    }
    if (!line.empty())
        return out;
    out.start = start;
    if (lower(out.header("transfer-encoding")) == "chunked") {
        while (takeLine(line, until)) {
            const std::size_t n = std::strtoul(line.c_str(), nullptr, 16);
            bool isWhole = false;
            out.body += take(n, until, isWhole);
            if (!isWhole || !takeLine(line, until))
                return out;
            if (n == 0) {
                out.isComplete = true;
                return out;
            }
        }
        return out;
    }
    const std::string length = out.header("content-length");
    if (!length.empty() || !isAnswer) {
        out.body = take(std::strtoul(length.c_str(), nullptr, 10), until, out.isComplete);
        return out;
    }
    while (more(until)) { }
    out.body = std::exchange(m_buffer, {});
    out.isComplete = !m_isReset;
    return out;
}

Message call(const std::string &address, const std::string &method, const std::string &target,
             const std::vector<std::pair<std::string, std::string>> &headers,
             const std::string &body, double timeout)
{
    const int fd = connectTo(address);
    if (fd < 0)
        return {};
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (headers.empty())
        text += "Host: x\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    Message out;
    if (writeAll(fd, text))
        out = Reader(fd).next(true, timeout);
    close(fd);
    return out;
}

Process::Process(const std::vector<std::string> &command, const std::string &logFile,
                 const std::vector<std::string> &environment, int inherited)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &it : command)
        arguments.push_back(const_cast<char *>(it.c_str()));
    arguments.push_back(nullptr);
    m_pid = fork();
    if (m_pid != 0)
        return;
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    if (inherited >= 0)
        fcntl(inherited, F_SETFD, 0);
    for (const std::string &it : environment)
        putenv(const_cast<char *>(it.c_str()));
    execv(arguments.front(), arguments.data());
    _exit(127);
}

Process::~Process()
{
    kill();
}

Process::Process(Process &&other) noexcept : m_pid(std::exchange(other.m_pid, -1)) { }

Process &Process::operator=(Process &&other) noexcept
{
    if (this == &other)
        return *this;
    kill();
    m_pid = std::exchange(other.m_pid, -1);
    return *this;
}

void Process::send(int signal) const
{
    if (m_pid > 0)
        ::kill(m_pid, signal);
}

void Process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    waitpid(std::exchange(m_pid, -1), nullptr, 0);
}

bool Process::isRunning()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = -1;
    return m_pid > 0;
}

bool Process::waitForEnd(double time)
{
    const double until = seconds() + time;
    while (isRunning() && seconds() < until)
        sleepFor(0.02);
    return !isRunning();
}

Lab::Lab(std::string self, int routers)
    : m_self(std::move(self)),
      m_folder((std::filesystem::temp_directory_path() / "review-XXXXXX").string()),
      m_store(addressOf(freePort())), m_routers(static_cast<std::size_t>(routers))
{
    if (!mkdtemp(m_folder.data()))
        throw std::runtime_error("cannot create a temporary folder");
    m_storeProcess = Process({"target/catkinloft-standin", "--listen=" + m_store, "--name=store",
                              "--writes_per_second=400", "--reads_per_second=2000", "rowstore"},
                             m_folder + "/store.log");
    const double until = seconds() + 10;
    for (int fd = -1; (fd = connectTo(m_store)) < 0 || close(fd) != 0;) {
        if (seconds() > until)
            throw std::runtime_error("the store does not start");
        sleepFor(0.02);
    }
}

Lab::~Lab()
{
    m_routers.clear();
    m_storeProcess.kill();
    std::error_code ec;
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(m_folder, ec);
}

void Lab::writeRow(const std::string &table, const std::string &key, const std::string &value)
{
    const std::string text = R"({"table":)" + quoted(table) + R"(,"key":)" + quoted(key)
            + (value.empty() ? "}" : R"(,"value":)" + quoted(value) + "}");
    if (const int status = call(m_store, "POST", "/v1/operator", {}, text).status(); status != 200)
        throw std::runtime_error("the store answered " + std::to_string(status));
}

void Lab::removeRow(const std::string &table, const std::string &key)
{
    writeRow(table, key, {});
}

void Lab::registerReplica(const std::string &id, const std::string &service, int port)
{
    writeRow("servers", id,
             R"({"service":")" + service + R"(","address":")" + addressOf(port)
                     + R"(","zone":"hall-a","version":"v1","slots":64,"state":"ready",)"
                     + R"("cold-remaining-ms":0,"sequence":1})");
}

void Lab::writeConfig()
{
    m_version += 3;
    writeRow("op", "config",
             R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)"
                     + route("calls", "non_idempotent", "plain", false, 1) + ","
                     + route("reads", "idempotent", "plain", false, 2) + ","
                     + route("streams", "streaming", "model", true, 2)
                     + R"(],"services":[{"name":"plain","max-connections":96},)"
                     + R"({"name":"model","max-connections":360}],)"
                     + R"("limits":{"max-header-bytes":65536,"max-body-bytes":4194304,)"
                     + R"("header-timeout-ms":5000,"idle-timeout-ms":30000},)"
                     + R"("tenants":[{"name":"tenant-1","api-keys":[")" + Key + R"("]}]})");
}

/// As deploy/settings.yaml is rendered on a small deployment.
std::string Lab::settingsText(const Router &router, std::size_t i) const
{
    const auto address = [] { return "\"" + addressOf(freePort()) + "\"\n"; };
    return "name: \"front-hall-a-" + std::to_string(i + 1) + "\"\nfailure_domain: \"hall-a\"\n"
            + "caller_address: \"" + router.caller + "\"\nreadiness_address: \"" + router.ready
            + "\"\ndirectory_address: " + address() + "peer_address: " + address()
            + "metrics_address: " + address() + "store_address: \"" + m_store + "\"\n"
            + "vm:\n  memory_mb: 260\n  descriptors: 4100\nstore_writes_per_second: 200\n"
              "processor_share: 0.25\nkey_proof:\n  required: true\n  limit: 5000ms\n"
              "repeats:\n  share: 0.2\n  slack: 52\n  window: 10s\nconfig_apply_limit: 2000ms\n"
              "replica_drain_limit: 2000ms\nstop_limit: 8s\ncold_replicas:\nregions:\n"
              "  - {domain: \"hall-a\", region: \"bc-coast\" }\naddress_lifetime: 2s\n";
}

void Lab::startRouter(std::size_t i)
{
    Router &it = m_routers[i];
    it.process =
            Process({"target/catkinloft", "entry"}, it.log, {"CATKINLOFT_CONFIG=" + it.settings});
}

void Lab::startRouters()
{
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        Router &it = m_routers[i];
        it.caller = addressOf(freePort());
        it.ready = addressOf(freePort());
        it.settings = m_folder + "/router-" + std::to_string(i) + ".yaml";
        it.log = m_folder + "/router-" + std::to_string(i) + ".log";
        std::ofstream(it.settings) << settingsText(it, i);
        startRouter(i);
    }
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (!waitUntilReady(i))
            throw std::runtime_error("a router does not become ready");
    }
}

bool Lab::waitUntilReady(std::size_t i, double time)
{
    const double until = seconds() + time;
    while (seconds() < until) {
        if (call(m_routers[i].ready, "GET", "/v1/readiness", {}, {}, 1).status() == 200)
            return true;
        sleepFor(0.05);
    }
    return false;
}

Process Lab::startSelf(const std::vector<std::string> &arguments, int inherited)
{
    std::vector<std::string> command{m_self};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return {command, selfLog(++m_logs), {}, inherited};
}

std::string Lab::selfLog(int n) const
{
    return m_folder + "/self-" + std::to_string(n) + ".log";
}

std::vector<std::pair<std::string, std::string>> callerHeaders(const std::string &id,
                                                               int deadlineMs)
{
    return {{"Host", Host},
            {"X-Request-Id", id},
            {"X-Request-Deadline", std::to_string(deadlineMs)},
            {"Authorization", std::string("Bearer ") + Key}};
}

void serve(int listener, const std::function<void(int fd)> &connection)
{
    while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([connection, fd] {
            connection(fd);
            close(fd);
        }).detach();
    }
}

bool refusedAsReplica(int fd, const Message &request, const std::string &id)
{
    const std::string requestId = request.header("x-request-id");
    const std::string idLine = requestId.empty() ? "" : "X-Request-Id: " + requestId + "\r\n";
    if (request.header("x-target-instance") != id) {
        writeAll(fd,
                 "HTTP/1.1 421 Misdirected\r\nX-Instance-Id: " + id + "\r\n" + idLine
                         + "Content-Length: 0\r\n\r\n");
        return true;
    }
    if (!requestId.empty())
        return false;
    writeAll(fd, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    return true;
}

} // namespace review
