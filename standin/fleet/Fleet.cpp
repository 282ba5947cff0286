#include "fleet/Fleet.h"

#include "Base/Hash.h"
#include "Net/EventLoop.h"
#include "SocketAddress.h"
#include "fleet/PortAllocator.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fmt/format.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

namespace catkinloft::standin {

namespace {

constexpr std::array PlatformRoles = {"table", "objects", "vms", "weights"};

std::string loopbackAddress(std::uint16_t port)
{
    return fmt::format("127.0.0.1:{}", port);
}

std::vector<std::string> loopbackAddresses(std::size_t n)
{
    std::vector<std::string> out;
    for (const std::uint16_t it : freePorts(n))
        out.push_back(loopbackAddress(it));
    return out;
}

std::string makeFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "catkinloft-XXXXXX").string();
    if (!mkdtemp(path.data()))
        throw std::runtime_error("cannot create temporary directory " + path);
    return path;
}

} // namespace

Fleet::Fleet(Options options) : m_options(std::move(options)), m_folder(makeFolder())
{
    const Deployment &d = m_options.deployment;
    for (const char *it : PlatformRoles)
        m_platformAddresses[it] = loopbackAddress(freePorts(1).front());
    m_engineAddresses = loopbackAddresses(static_cast<std::size_t>(d.engines));
    m_replicaAddresses = loopbackAddresses(static_cast<std::size_t>(d.replicas));
    m_routerAddresses = loopbackAddresses(static_cast<std::size_t>(d.routers));
    m_peerAddresses = loopbackAddresses(static_cast<std::size_t>(d.routers));
    m_engines.resize(m_engineAddresses.size());
    m_replicas.resize(m_replicaAddresses.size());
    m_routers.resize(m_routerAddresses.size());
}

Fleet::~Fleet()
{
    m_routers.clear();
    m_engines.clear();
    m_replicas.clear();
    m_platform.clear();
    m_proxies.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

std::string Fleet::logFile(const std::string &name) const
{
    return m_folder + "/" + name + ".log";
}

void Fleet::spawn(std::unique_ptr<ChildProcess> &into, std::vector<std::string> command,
                  const std::string &name)
{
    command.front() = m_options.binaries + "/" + command.front();
    into.reset();
    into = std::make_unique<ChildProcess>(command, logFile(name));
}

void Fleet::startPlatform()
{
    for (const char *role : PlatformRoles) {
        spawn(m_platform[role],
              {"catkinloft-standin", "--listen=" + m_platformAddresses[role],
               std::string("--name=") + role, role},
              role);
    }
}

void Fleet::startProxies()
{
    std::vector<std::string> targets;
    if (m_options.proxiedUpstreams) {
        targets = m_engineAddresses;
        targets.insert(targets.end(), m_replicaAddresses.begin(), m_replicaAddresses.end());
    }
    if (m_options.proxiedPlatform) {
        for (const char *it : PlatformRoles)
            targets.push_back(m_platformAddresses.at(it));
    }
    for (const std::string &it : targets) {
        const std::vector<std::string> own = loopbackAddresses(2);
        Proxy &proxy = m_proxies[it];
        proxy.listen = own[0];
        proxy.control = own[1];
        spawn(proxy.process,
              {"catkinloft-standin", "--listen=" + own[0], "--control=" + own[1], "--target=" + it,
               "proxy"},
              "proxy-" + it);
    }
}

std::string Fleet::proxiedAddress(const std::string &address) const
{
    const auto it = m_proxies.find(address);
    return it == m_proxies.end() ? address : it->second.listen;
}

void Fleet::setProxyFaults(const std::string &address, const std::string &faults)
{
    const Result<HttpAnswer> answer = fetch({.address = m_proxies.at(address).control,
                                             .method = "POST",
                                             .target = "/v1/faults",
                                             .body = faults});
    if (!answer || answer.value().head.status != 200)
        throw std::runtime_error("proxy did not accept the faults");
}

void Fleet::setPlatformMode(const std::string &role, const std::string &mode,
                            const std::string &more)
{
    const Result<HttpAnswer> answer =
            fetch({.address = platformAddress(role),
                   .method = "POST",
                   .target = "/v1/control",
                   .body = fmt::format(R"({{"mode":"{}"{}}})", mode, more)});
    if (!answer || answer.value().head.status != 204)
        throw std::runtime_error("platform role did not accept the mode");
}

std::string Fleet::recordFile(const std::string &name) const
{
    return m_folder + "/" + name + ".executions";
}

std::vector<Json::Value> Fleet::executions() const
{
    std::vector<Json::Value> out;
    for (const auto &entry : std::filesystem::directory_iterator(m_folder)) {
        if (entry.path().extension() != ".executions")
            continue;
        std::ifstream in(entry.path());
        for (std::string line; std::getline(in, line);) {
            Json::Value execution;
            std::istringstream(line) >> execution;
            out.push_back(std::move(execution));
        }
    }
    return out;
}

void Fleet::startEngine(std::size_t i)
{
    const std::string name = fmt::format("engine-{}", i);
    std::vector<std::string> command{
            "catkinloft-standin", "--name=" + name, "--listen=" + m_engineAddresses[i],
            "--model=" + deployment().model, "--record_file=" + recordFile(name)};
    command.insert(command.end(), m_options.engineFlags.begin(), m_options.engineFlags.end());
    command.emplace_back("engine");
    spawn(m_engines[i], std::move(command), name);
}

void Fleet::startReplica(std::size_t i)
{
    const std::string name = fmt::format("{}-{}", deployment().service, i);
    std::vector<std::string> command{"catkinloft-standin", "--name=" + name,
                                     "--listen=" + m_replicaAddresses[i],
                                     "--record_file=" + recordFile(name)};
    command.insert(command.end(), m_options.serviceFlags.begin(), m_options.serviceFlags.end());
    command.emplace_back("service");
    spawn(m_replicas[i], std::move(command), name);
}

void Fleet::startUpstreams()
{
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        startEngine(i);
    for (std::size_t i = 0; i < m_replicas.size(); ++i)
        startReplica(i);
}

void Fleet::writeSettings(std::size_t i)
{
    const Deployment &d = deployment();
    std::ofstream out(fmt::format("{}/router-{}.yaml", m_folder, i));
    out << fmt::format("name: router-{}\nfailure_domain: {}\nregion: {}\ncaller_address: {}\n"
                       "peer_address: {}\nbootstrap_key_sha256: {}\n",
                       i, d.failureDomains[i % d.failureDomains.size()], d.region,
                       m_routerAddresses[i], m_peerAddresses[i], sha256Hex(operatorKey()))
        << "peer_keys:\n  - {id: k1, secret: peer-secret-of-the-tests}\n"
        << "refusal_keys:\n  - {id: r1, secret: refusal-secret-of-the-tests}\n"
        << fmt::format("platform:\n  table_service: {}\n  object_store: {}\n  vm_list: {}\n"
                       "  weight_store: {}\n",
                       proxiedAddress(platformAddress("table")),
                       proxiedAddress(platformAddress("objects")),
                       proxiedAddress(platformAddress("vms")),
                       proxiedAddress(platformAddress("weights")))
        << m_options.extraSettings;
}

void Fleet::startRouter(std::size_t i)
{
    writeSettings(i);
    spawn(m_routers.at(i), {"catkinloft", "router", fmt::format("{}/router-{}.yaml", m_folder, i)},
          fmt::format("router-{}", i));
}

void Fleet::start()
{
    startPlatform();
    startUpstreams();
    startProxies();
    for (std::size_t i = 0; i < m_routers.size(); ++i)
        startRouter(i);
    waitUntilListening(m_engineAddresses);
    waitUntilListening(m_replicaAddresses);
    for (const auto &[target, proxy] : m_proxies)
        waitUntilListening({proxy.control}); // Opened after the proxy's own address.
    const auto answers = [](const std::string &address, const char *target) {
        const Result<HttpAnswer> answer = fetch({.address = address, .target = target});
        return answer && answer.value().head.status == 200;
    };
    if (!waitFor([&] { return answers(platformAddress("vms"), "/v1/vms"); }))
        throw std::runtime_error("no answer from the VM list");
    publishVms();
    if (!waitFor([&] { return apply(inventory()) == 200; }))
        throw std::runtime_error("router 0 did not accept the first configuration");
    for (const std::string &it : m_routerAddresses) {
        if (!waitFor([&] { return answers(it, "/readyz"); }))
            throw std::runtime_error("router did not become ready: " + it);
    }
}

void Fleet::publishVms(const std::vector<std::size_t> &gone,
                       const std::vector<std::size_t> &leaving)
{
    const auto contains = [](const std::vector<std::size_t> &list, std::size_t i) {
        return std::find(list.begin(), list.end(), i) != list.end();
    };
    std::string vms;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (contains(gone, i))
            continue;
        const auto &domains = deployment().failureDomains;
        vms += fmt::format(R"({}{{"name":"router-{}","caller_address":"{}","peer_address":"{}",)"
                           R"("failure_domain":"{}","state":"{}"}})",
                           vms.empty() ? "" : ",", i, m_routerAddresses[i], m_peerAddresses[i],
                           domains[i % domains.size()], contains(leaving, i) ? "leaving" : "live");
    }
    const Result<HttpAnswer> answer = fetch({.address = platformAddress("vms"),
                                             .method = "PUT",
                                             .target = "/v1/vms",
                                             .body = fmt::format(R"({{"vms":[{}]}})", vms)});
    if (!answer)
        throw std::runtime_error("no answer from the VM list");
}

std::string Fleet::inventory(const std::function<std::string(std::string)> &edit) const
{
    const Deployment &d = deployment();
    const auto address = [&](const std::string &it) {
        return edit ? edit(it) : proxiedAddress(it);
    };
    const auto domain = [&](std::size_t i) {
        return d.failureDomains[i % d.failureDomains.size()];
    };
    std::string out = "places:\n";
    for (const std::string &it : d.failureDomains)
        out += fmt::format("  - {{name: {}, region: {}}}\n", it, d.region);
    out += "engines:\n";
    for (std::size_t i = 0; i < m_engineAddresses.size(); ++i) {
        out += fmt::format(
                "  - {{name: engine-{}, model: {}, address: \"{}\", failure_domain: {}}}\n", i,
                d.model, address(m_engineAddresses[i]), domain(i));
    }
    out += fmt::format("services:\n  - name: {}\n    idempotent_methods: [GET, PUT]\n"
                       "    timeout: {}\n    replicas:\n",
                       d.service, m_options.serviceTimeout);
    for (std::size_t i = 0; i < m_replicaAddresses.size(); ++i) {
        out += fmt::format("      - {{address: \"{}\", failure_domain: {}}}\n",
                           address(m_replicaAddresses[i]), domain(i));
    }
    out += "workspaces:\n";
    for (int i = 0; i < d.workspaces; ++i) {
        out += fmt::format("  - {{name: {}, key_sha256: {}}}\n", workspaceName(i),
                           sha256Hex(workspaceKey(i)));
    }
    out += fmt::format("operators:\n  - {{name: desk, key_sha256: {}}}\n",
                       sha256Hex(operatorKey()));
    if (!m_options.extraRules.empty())
        out += "rules:\n" + m_options.extraRules;
    return out;
}

int Fleet::apply(const std::string &inventory, std::size_t i)
{
    const std::string authorization = "Bearer " + operatorKey();
    const Result<HttpAnswer> before = fetch({.address = routerAddress(i),
                                             .target = "/v1/config",
                                             .headers = {{"Authorization", authorization}}});
    if (!before)
        return 0;
    const Result<HttpAnswer> answer =
            fetch({.address = routerAddress(i),
                   .method = "PUT",
                   .target = "/v1/config",
                   .headers = {{"Authorization", authorization},
                               {"If-Match", std::string(before.value().head.header("ETag"))}},
                   .body = inventory});
    return answer ? answer.value().head.status : 0;
}

Result<HttpAnswer> Fleet::fetch(HttpCall call)
{
    EventLoop loop;
    HttpClient client(loop);
    std::optional<Result<HttpAnswer>> out;
    client.fetch(std::move(call), [&](Result<HttpAnswer> answer) {
        out = std::move(answer);
        loop.stop();
    });
    loop.run();
    return *out;
}

bool Fleet::isListening(const std::string &address)
{
    const sockaddr_in to = socketAddress(address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool out = connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0;
    close(fd);
    return out;
}

void Fleet::waitUntilListening(const std::vector<std::string> &addresses)
{
    for (const std::string &it : addresses) {
        if (!waitFor([&] { return isListening(it); }))
            throw std::runtime_error("nothing listens on " + it);
    }
}

bool Fleet::waitFor(const std::function<bool()> &condition, Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

std::string Fleet::routerLog(std::size_t i) const
{
    const std::ifstream in(logFile(fmt::format("router-{}", i)));
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

ChildProcess &Fleet::router(std::size_t i)
{
    return *m_routers.at(i);
}

ChildProcess &Fleet::engine(std::size_t i)
{
    return *m_engines.at(i);
}

ChildProcess &Fleet::replica(std::size_t i)
{
    return *m_replicas.at(i);
}

ChildProcess &Fleet::platform(const std::string &role)
{
    return *m_platform.at(role);
}

std::string Fleet::workspaceKey(int i)
{
    return fmt::format("key-of-workspace-{}", i);
}

std::string Fleet::workspaceName(int i)
{
    return fmt::format("workspace-{}", i);
}

std::string Fleet::operatorKey()
{
    return "key-of-the-operator";
}

} // namespace catkinloft::standin
