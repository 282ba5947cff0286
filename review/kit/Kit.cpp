#include "Kit.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using namespace std::chrono_literals;

namespace {

const TimePoint StartedAt = std::chrono::steady_clock::now();

/// The processes that run, for the case that this one ends early.
std::mutex childrenMutex;
std::set<pid_t> children;

void killChildren()
{
    const std::lock_guard lock(childrenMutex);
    for (const pid_t it : children) {
        kill(it, SIGCONT);
        kill(it, SIGKILL);
    }
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

int listenOn(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool waitReadable(int fd, TimePoint until)
{
    const auto left = std::chrono::ceil<Milliseconds>(until - now()).count();
    if (left <= 0)
        return false;
    pollfd it{.fd = fd, .events = POLLIN, .revents = 0};
    return poll(&it, 1, static_cast<int>(left)) == 1;
}

std::string jsonText(const std::string &text)
{
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out + "\"";
}

std::string routeJson(const std::string &name, const std::string &kind, const std::string &service,
                      bool resumes, int attempts, int timeoutMs, int aimMs)
{
    return R"({"name":")" + name + R"(","host":")" + Fleet::Host + R"(","prefix":"/)" + name
            + R"(/","kind":")" + kind + R"(","timeout-ms":)" + std::to_string(timeoutMs)
            + R"(,"target-latency-ms":)" + std::to_string(aimMs) + R"(,"priority":0,"service":")"
            + service + R"(","max-attempts":)" + std::to_string(attempts)
            + R"(,"no-auth":false,"sticky":false,"stream-resume":)" + (resumes ? "true" : "false")
            + R"(,"gap-aim-ms":400})";
}

} // namespace

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::int64_t elapsedMs()
{
    return (now() - StartedAt) / 1ms;
}

Record::Record(const std::string &file) : m_out(file) { }

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_out << elapsedMs() << " ms  " << line << std::endl;
}

std::uint16_t freePort()
{
    static std::mt19937 random(std::random_device{}());
    static std::set<std::uint16_t> given; // Those whose process does not listen yet.
    for (int i = 0; i < 1000; ++i) {
        const auto port = static_cast<std::uint16_t>(20'000 + random() % 10'000);
        if (given.contains(port))
            continue;
        const int fd = listenOn(port);
        if (fd < 0)
            continue;
        given.insert(port);
        close(fd);
        return port;
    }
    giveUp("no free port");
}

std::string Message::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

int Message::status() const
{
    const std::size_t space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space);
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t first = startLine.find(' ');
    if (first == std::string::npos)
        return {};
    return startLine.substr(first + 1, startLine.find(' ', first + 1) - first - 1);
}

Connection::~Connection()
{
    close();
}

void Connection::close()
{
    if (m_fd >= 0)
        ::close(std::exchange(m_fd, -1));
}

bool Connection::open(std::uint16_t port, int receiveBuffer)
{
    close();
    m_buffer.clear();
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return true;
    close();
    return false;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::optional<std::string> Connection::readSome(std::size_t most, TimePoint until)
{
    if (!m_buffer.empty()) {
        std::string out = m_buffer.substr(0, most);
        m_buffer.erase(0, out.size());
        return out;
    }
    if (!waitReadable(m_fd, until))
        return std::nullopt;
    std::string out(most, '\0');
    const ssize_t n = recv(m_fd, out.data(), out.size(), 0);
    out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return out;
}

std::string Connection::readHead(TimePoint until)
{
    std::string text;
    std::size_t end = std::string::npos;
    while ((end = text.find("\r\n\r\n")) == std::string::npos) {
        const auto part = readSome(4096, until);
        if (!part || part->empty())
            return text;
        text += *part;
    }
    m_buffer.insert(0, text.substr(end + 4));
    text.resize(end + 4);
    return text;
}

Message Connection::read(TimePoint until, bool isAnswer)
{
    Message out;
    std::string text;
    const auto more = [&] {
        const auto part = readSome(65'536, until);
        if (!part || part->empty())
            return false;
        text += *part;
        return true;
    };
    std::size_t end = text.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!more())
            return out;
        end = text.find("\r\n\r\n");
    }
    std::size_t at = text.find("\r\n");
    out.startLine = text.substr(0, at);
    while (at < end) {
        const std::size_t next = text.find("\r\n", at + 2);
        const std::string line = text.substr(at + 2, next - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            out.headers.emplace_back(line.substr(0, colon),
                                     value == std::string::npos ? "" : line.substr(value));
        }
        at = next;
    }
    text.erase(0, end + 4);
    if (strcasecmp(out.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t eol = text.find("\r\n");
            while (eol == std::string::npos) {
                if (!more())
                    return out;
                eol = text.find("\r\n");
            }
            const std::size_t n = std::strtoul(text.c_str(), nullptr, 16);
            while (text.size() < eol + 2 + n + 2) {
                if (!more()) {
                    out.body += text.substr(std::min(text.size(), eol + 2), n);
                    return out;
                }
            }
            out.body += text.substr(eol + 2, n);
            text.erase(0, eol + 2 + n + 2);
            if (n == 0)
                break;
        }
        out.isComplete = true;
    } else if (const std::string length = out.header("Content-Length"); !length.empty()) {
        const std::size_t n = std::strtoul(length.c_str(), nullptr, 10);
        while (text.size() < n && more()) { }
        out.isComplete = text.size() >= n;
        out.body = text.substr(0, n);
        text.erase(0, out.body.size());
    } else if (!isAnswer) {
        out.isComplete = true;
    } else {
        out.isUnframed = true;
        while (true) {
            const auto part = readSome(65'536, until);
            if (!part)
                break;
            if (part->empty()) {
                out.isComplete = true;
                break;
            }
            text += *part;
        }
        out.body = std::move(text);
        text.clear();
    }
    m_buffer.insert(0, text);
    return out;
}

std::string requestText(const std::string &method, const std::string &target,
                        const Headers &headers, const std::string &body)
{
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        out.append(name).append(": ").append(value).append("\r\n");
    if (method != "GET")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

Listener::Listener(std::uint16_t port, Handler handle)
    : m_fd(listenOn(port)), m_handle(std::move(handle))
{
    if (m_fd < 0)
        giveUp("can't listen");
    m_thread = std::thread([this] {
        while (true) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([handle = m_handle, fd] {
                Connection connection(fd);
                handle(connection);
            }).detach();
        }
    });
}

Listener::~Listener()
{
    shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    ::close(m_fd);
}

Process::Process(const std::vector<std::string> &command, const std::string &logFile,
                 std::vector<std::string> environment)
{
    // A process gets few variables, see DEPLOY.md of the users' pages.
    for (const char *name : {"PATH", "HOME", "LANG"}) {
        if (const char *value = std::getenv(name))
            environment.push_back(std::string(name) + "=" + value);
    }
    const auto pointers = [](const std::vector<std::string> &list) {
        std::vector<char *> out;
        out.reserve(list.size() + 1);
        for (const std::string &it : list)
            out.push_back(const_cast<char *>(it.c_str()));
        out.push_back(nullptr);
        return out;
    };
    const std::vector<char *> arguments = pointers(command);
    const std::vector<char *> variables = pointers(environment);
    // Other threads may hold locks, so the child only makes system calls.
    m_pid = fork();
    if (m_pid != 0) {
        const std::lock_guard lock(childrenMutex);
        children.insert(m_pid);
        return;
    }
    // The process ends with this one, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(arguments.front(), arguments.data(), variables.data());
    _exit(127);
}

Process::~Process()
{
    if (!isRunning())
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    waitEnd(5s);
}

void Process::signal(int number) const
{
    if (!m_ended && m_pid > 0)
        kill(m_pid, number);
}

std::int64_t Process::processorMs() const
{
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text;
    std::getline(in, text);
    // User and system time follow eleven other fields after the name in parentheses.
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return (user + system) * 1000 / sysconf(_SC_CLK_TCK);
}

std::size_t Process::descriptors() const
{
    std::error_code ec;
    const std::filesystem::directory_iterator it("/proc/" + std::to_string(m_pid) + "/fd", ec);
    return static_cast<std::size_t>(std::distance(begin(it), end(it)));
}

bool Process::isRunning()
{
    if (!m_ended && waitpid(m_pid, nullptr, WNOHANG) != 0) {
        m_ended = true;
        const std::lock_guard lock(childrenMutex);
        children.erase(m_pid);
    }
    return !m_ended;
}

bool Process::waitEnd(Milliseconds timeout)
{
    const TimePoint until = now() + timeout;
    while (isRunning()) {
        if (now() >= until)
            return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

Fleet::Fleet(std::size_t routers, const std::vector<ReplicaEntry> &replicas, Record &record)
    : m_record(record),
      m_folder((std::filesystem::temp_directory_path() / "catkinloft-review-XXXXXX").string())
{
    if (!mkdtemp(m_folder.data()))
        giveUp("no temporary folder");
    m_store = freePort();
    m_storeProcess = std::make_unique<Process>(
            std::vector<std::string>{
                    "target/catkinloft-standin", "--listen=127.0.0.1:" + std::to_string(m_store),
                    "--writes_per_second=400", "--reads_per_second=2000", "rowstore"},
            m_folder + "/store.log");
    writeConfig();
    for (const ReplicaEntry &it : replicas)
        registerReplica(it, "ready");
    m_routers.resize(routers);
    for (std::size_t i = 0; i < routers; ++i) {
        Router &it = m_routers[i];
        for (std::uint16_t *port :
             {&it.caller, &it.readiness, &it.directory, &it.peer, &it.metrics})
            *port = freePort();
        startRouter(i);
    }
    for (std::size_t i = 0; i < routers; ++i) {
        const TimePoint until = now() + 15s;
        while (!isReady(i)) {
            if (now() >= until)
                giveUp("a router did not become ready");
            std::this_thread::sleep_for(50ms);
        }
    }
    // Routers hear of each other within a few heartbeats.
    std::this_thread::sleep_for(2s);
    m_heartbeats = std::thread([this] { beat(); });
    m_record.add("fleet ready: " + std::to_string(routers) + " routers");
}

Fleet::~Fleet()
{
    m_isEnding = true;
    m_heartbeats.join();
    m_routers.clear();
    m_storeProcess.reset();
    if (const char *keep = std::getenv("KEEP_LOGS"); keep && *keep != '\0') {
        std::fprintf(stderr, "logs: %s\n", m_folder.c_str());
        return;
    }
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void Fleet::startRouter(std::size_t i)
{
    writeSettings(i);
    m_routers.at(i).process = std::make_unique<Process>(
            std::vector<std::string>{"target/catkinloft", "entry"},
            m_folder + "/router-" + std::to_string(i) + ".log",
            std::vector<std::string>{"CATKINLOFT_CONFIG=" + m_folder + "/router-"
                                     + std::to_string(i) + ".yaml"});
}

/// As deploy/settings.yaml is rendered for a machine of reading-desk.
void Fleet::writeSettings(std::size_t i) const
{
    const Router &it = m_routers.at(i);
    const auto address = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream out(m_folder + "/router-" + std::to_string(i) + ".yaml");
    out << "name: \"front-hall-a-" << i + 1 << "\"\nfailure_domain: \"hall-a\"\n"
        << "caller_address: " << address(it.caller)
        << "readiness_address: " << address(it.readiness)
        << "directory_address: " << address(it.directory) << "peer_address: " << address(it.peer)
        << "metrics_address: " << address(it.metrics) << "store_address: " << address(m_store)
        << "store_writes_per_second: 200\nprocessor_share: 0.25\n"
        << "key_proof:\n  required: true\n  limit: 5000ms\n"
        << "repeats:\n  share: 0.2\n  slack: 52\n  window: 10s\n"
        << "config_apply_limit: 2000ms\nreplica_drain_limit: 2000ms\nstop_limit: 8s\n"
        << "cold_replicas:\nregions:\n  - {domain: \"hall-a\", region: \"bc-coast\" }\n"
        << "address_lifetime: 2s\n";
}

void Fleet::writeConfig()
{
    const std::string routes =
            routeJson("finding-aid-digest", "streaming", "catkin-readers", true, 2, 15'000, 800)
            + ","
            + routeJson("pull-list-draft", "streaming", "catkin-readers", false, 1, 12'000, 800)
            + "," + routeJson("visit-confirm", "non_idempotent", "desk-app", false, 1, 800, 100)
            + "," + routeJson("retrieval-ack", "idempotent", "desk-app", false, 2, 800, 100);
    const std::string text = R"({"version":7,"routes":[)" + routes
            + R"(],"services":[{"name":"catkin-readers","health-path":"/health",)"
              R"("max-connections":360,"protocol":"h1","tls":false},)"
              R"({"name":"desk-app","health-path":"/health","max-connections":96,)"
              R"("protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)"
              R"("max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
              R"("tenants":[{"name":"hule930","api-keys":[")"
            + Key + R"("],"priority":1}]})";
    const TimePoint until = now() + 10s;
    while (!writeRow("op", "config", text)) {
        if (now() >= until)
            giveUp("the store does not answer");
        std::this_thread::sleep_for(50ms);
    }
}

bool Fleet::writeEntry(const ReplicaEntry &it, const std::string &state)
{
    const std::string text = R"({"service":")" + it.service + R"(","address":"127.0.0.1:)"
            + std::to_string(it.port) + R"(","zone":"hall-a","version":"v1","slots":)"
            + (it.service == "desk-app" ? "6" : "64") + R"(,"state":")" + state
            + R"(","cold-remaining-ms":0,"sequence":)" + std::to_string(++m_sequence) + "}";
    return writeRow("servers", it.id, text);
}

void Fleet::registerReplica(const ReplicaEntry &it, const std::string &state)
{
    const std::lock_guard lock(m_entriesMutex);
    m_entries[it.id] = {it, state};
    if (!writeEntry(it, state))
        giveUp("the store refused an entry");
}

void Fleet::stopHeartbeats(const std::string &id)
{
    const std::lock_guard lock(m_entriesMutex);
    m_entries.erase(id);
}

void Fleet::removeReplica(const std::string &id)
{
    const std::lock_guard lock(m_entriesMutex);
    m_entries.erase(id);
    if (!writeRow("servers", id, std::nullopt))
        giveUp("the store refused to remove an entry");
}

void Fleet::beat()
{
    TimePoint next = now() + HeartbeatInterval;
    while (!m_isEnding) {
        std::this_thread::sleep_for(20ms);
        if (now() < next)
            continue;
        next += HeartbeatInterval;
        const std::lock_guard lock(m_entriesMutex);
        for (const auto &[id, it] : m_entries)
            writeEntry(it.first, it.second);
    }
}

bool Fleet::writeRow(const std::string &table, const std::string &key,
                     const std::optional<std::string> &value) const
{
    std::string body = R"({"table":")" + table + R"(","key":")" + key + "\"";
    if (value)
        body += ",\"value\":" + jsonText(*value);
    body += "}";
    Connection connection;
    if (!connection.open(m_store)
        || !connection.send(requestText("POST", "/v1/operator", {{"Host", "store"}}, body)))
        return false;
    const int status = connection.read(now() + 2s, true).status();
    return status >= 200 && status < 300;
}

bool Fleet::isReady(std::size_t i) const
{
    Connection connection;
    return connection.open(m_routers.at(i).readiness)
            && connection.send(requestText("GET", "/v1/readiness", {{"Host", "ready"}}, ""))
            && connection.read(now() + 1s, true).status() == 200;
}

Headers clientHeaders(const std::string &id, int deadlineMs)
{
    return {{"Host", Fleet::Host},
            {"X-Request-Id", id},
            {"X-Request-Deadline", std::to_string(deadlineMs)},
            {"Authorization", std::string("Bearer ") + Fleet::Key}};
}

int runCase(const std::function<int()> &body)
{
    std::thread([] {
        std::this_thread::sleep_for(115s);
        giveUp("the case took too long");
    }).detach();
    std::signal(SIGPIPE, SIG_IGN);
    const int result = body();
    killChildren();
    std::fflush(stdout);
    // Threads of connections may still be running.
    std::_Exit(result);
}

bool isTroubleOff()
{
    const char *text = std::getenv("TROUBLE");
    return text && std::string_view(text) == "0";
}

void giveUp(const std::string &why)
{
    std::fprintf(stderr, "could not run: %s\n", why.c_str());
    killChildren();
    std::_Exit(2);
}

} // namespace review
