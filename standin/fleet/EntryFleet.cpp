#include "fleet/EntryFleet.h"

#include "Base/Json.h"
#include "fleet/Fleet.h"
#include "fleet/PortAllocator.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace catkinloft::standin {

namespace {

constexpr int StoreWritesPerSecond = 400;

/// As the routers are told: their rows are in one part of the store, which serializes them.
constexpr int RowWritesPerSecond = 200;

std::string loopbackAddress()
{
    return fmt::format("127.0.0.1:{}", freePorts(1).front());
}

std::string readFile(const std::string &path)
{
    const std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

Json::Value routeJson(const std::string &name, const std::string &kind, const std::string &service,
                      bool resumable, int attempts, int priority = 1)
{
    Json::Value out(Json::objectValue);
    out["name"] = name;
    out["host"] = EntryFleet::Host;
    out["prefix"] = "/" + name + "/";
    out["kind"] = kind;
    out["service"] = service;
    out["target-latency-ms"] = 500;
    out["priority"] = priority;
    out["max-attempts"] = attempts;
    out["no-auth"] = false;
    out["stream-resume"] = resumable;
    out["gap-aim-ms"] = 400;
    return out;
}

std::string orFirstVersion(const std::string &version)
{
    return version.empty() ? "v1" : version;
}

} // namespace

EntryFleet::EntryFleet(Options options)
    : m_options(std::move(options)),
      m_folder((std::filesystem::temp_directory_path() / "catkinloft-XXXXXX").string())
{
    if (!mkdtemp(m_folder.data()))
        throw std::runtime_error("cannot create temporary directory " + m_folder);
    m_routers.resize(m_options.routers);
    m_replicas.resize(2 * m_options.replicas);
    const std::vector<std::string> &versions = m_options.versions;
    for (std::size_t i = 0; i < m_replicas.size() && !versions.empty(); ++i)
        m_replicas[i].version = versions[i % versions.size()];
}

EntryFleet::~EntryFleet()
{
    m_routers.clear();
    m_replicas.clear();
    m_storeProcess.reset();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

std::unique_ptr<ChildProcess> EntryFleet::spawn(std::vector<std::string> command,
                                                const std::string &name)
{
    command.front() = m_options.binaries + "/" + command.front();
    return std::make_unique<ChildProcess>(command, m_folder + "/" + name + ".log");
}

bool EntryFleet::tryPost(const std::string &address, const std::string &target,
                         const std::string &body)
{
    const Result<HttpAnswer> answer =
            Fleet::fetch({.address = address, .method = "POST", .target = target, .body = body});
    return answer && answer.value().head.status < 300;
}

void EntryFleet::post(const std::string &address, const std::string &target,
                      const std::string &body)
{
    if (!Fleet::waitFor([&] { return tryPost(address, target, body); }))
        throw std::runtime_error("stand-in did not accept POST " + target);
}

void EntryFleet::startStore()
{
    m_store = loopbackAddress();
    m_storeProcess = spawn({"catkinloft-standin", "--listen=" + m_store, "--name=store",
                            fmt::format("--writes_per_second={}", StoreWritesPerSecond),
                            "--reads_per_second=2000", "rowstore"},
                           "store");
}

void EntryFleet::startProxy(Proxy &proxy, const std::string &target, const std::string &name)
{
    proxy.listen = loopbackAddress();
    proxy.control = loopbackAddress();
    proxy.process = spawn({"catkinloft-standin", "--listen=" + proxy.listen,
                           "--control=" + proxy.control, "--target=" + target, "proxy"},
                          name);
}

void EntryFleet::startReplica(std::size_t i)
{
    Replica &it = m_replicas[i];
    it.service = i < m_options.replicas ? "calls" : "streams";
    it.id = fmt::format("i-{}-{}", i, ++it.starts);
    launchReplica(it);
}

void EntryFleet::launchReplica(Replica &it)
{
    it.exitedAt.reset();
    it.runningVersion = it.version;
    std::vector<std::string> command{"catkinloft-standin", "--listen=" + it.address,
                                     "--name=" + it.id, "--software_version=" + it.version,
                                     "--record_file=" + m_folder + "/" + it.id + ".executions"};
    if (const std::optional<Capacity> &capacity = m_options.capacity) {
        command.push_back(fmt::format("--service_ms={}", toSeconds(capacity->serviceTime) * 1000));
        command.push_back(fmt::format("--replica_slots={}", capacity->slots));
        command.push_back(fmt::format("--replica_queue={}", capacity->queue));
    } else {
        command.push_back(fmt::format("--service_ms={}", toSeconds(m_options.serviceTime) * 1000));
    }
    command.emplace_back("replica");
    it.process = spawn(std::move(command), it.id);
}

void EntryFleet::restartReplica(std::size_t i)
{
    m_replicas[i].process.reset();
    removeReplica(i);
    startReplica(i);
    registerReplica(i, "ready");
}

void EntryFleet::resumeReplica(std::size_t i)
{
    m_replicas[i].process.reset();
    launchReplica(m_replicas[i]);
}

bool EntryFleet::hasExited(std::size_t i, Duration minDowntime)
{
    Replica &it = m_replicas.at(i);
    if (it.process->isRunning())
        return false;
    const TimePoint now = std::chrono::steady_clock::now();
    if (!it.exitedAt)
        it.exitedAt = now;
    return now - *it.exitedAt >= minDowntime;
}

void EntryFleet::restartExitedReplicas(Duration minDowntime)
{
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
        if (hasExited(i, minDowntime))
            restartReplica(i);
    }
}

void EntryFleet::writeRow(const std::string &table, const std::string &key,
                          const Json::Value &value)
{
    m_rows[{table, key}] = value;
    postRow(table, key, value);
}

void EntryFleet::writeReplicaEntry(const std::string &id, const std::string &text)
{
    postRow("servers", id, std::optional(text));
}

void EntryFleet::rewriteRows()
{
    for (const auto &[row, value] : m_rows)
        postRow(row.first, row.second, value);
}

void EntryFleet::postRow(const std::string &table, const std::string &key, const Json::Value &value)
{
    if (value.isNull())
        postRow(table, key, std::optional<std::string>());
    else
        postRow(table, key, std::optional(printJson(value)));
}

void EntryFleet::postRow(const std::string &table, const std::string &key,
                         const std::optional<std::string> &value)
{
    Json::Value root(Json::objectValue);
    root["table"] = table;
    root["key"] = key;
    if (value)
        root["value"] = *value;
    post(m_store, "/v1/operator", printJson(root));
}

std::string EntryFleet::versionOf(std::size_t i) const
{
    return orFirstVersion(m_replicas.at(i).version);
}

std::string EntryFleet::domainOf(std::size_t i) const
{
    return m_options.domains == 1 ? "hall" : fmt::format("hall-{}", i % m_options.domains);
}

std::string EntryFleet::domainOfId(const std::string &id) const
{
    // The replica's index follows the first dash, see startReplica().
    return domainOf(std::stoul(id.substr(id.find('-') + 1)));
}

Json::Value EntryFleet::replicaEntry(std::size_t i, const std::string &state, Duration cold) const
{
    const Replica &it = m_replicas.at(i);
    Json::Value entry(Json::objectValue);
    entry["service"] = it.service;
    entry["address"] = it.proxy.listen;
    entry["zone"] = domainOf(i);
    entry["slots"] = m_options.capacity ? m_options.capacity->slots : 8;
    entry["version"] = orFirstVersion(it.runningVersion);
    entry["cold-remaining-ms"] = static_cast<Json::Int64>(cold / std::chrono::milliseconds(1));
    entry["sequence"] = 1;
    entry["state"] = state;
    return entry;
}

void EntryFleet::registerReplica(std::size_t i, const std::string &state, Duration cold)
{
    writeRow("servers", m_replicas.at(i).id, replicaEntry(i, state, cold));
}

void EntryFleet::registerFormerReplica(std::size_t i, const std::string &id)
{
    writeRow("servers", id, replicaEntry(i, "ready", Duration::zero()));
}

void EntryFleet::removeFormerReplica(const std::string &id)
{
    writeRow("servers", id, Json::Value());
}

void EntryFleet::removeReplica(std::size_t i)
{
    writeRow("servers", m_replicas.at(i).id, Json::Value());
}

void EntryFleet::evacuate(const std::string &domain)
{
    writeRow("op", "evacuate/" + domain, Json::Value(Json::objectValue));
}

void EntryFleet::endEvacuation(const std::string &domain)
{
    writeRow("op", "evacuate/" + domain, Json::Value());
}

std::string EntryFleet::priorityRoute(const std::string &route, int priority)
{
    return fmt::format("{}-{}", route, priority);
}

std::string EntryFleet::workspaceName(std::size_t i)
{
    return fmt::format("workspace-{}", i);
}

std::string EntryFleet::workspaceKey(std::size_t i)
{
    return fmt::format("workspace-key-{}", i);
}

std::uint64_t EntryFleet::writeConfig(const std::vector<std::string> &keys, bool withExtraRoute)
{
    m_version += 3;
    Json::Value root(Json::objectValue);
    root["version"] = static_cast<Json::UInt64>(m_version);
    root["routes"].append(routeJson("safe", "idempotent", "calls", false, 2));
    root["routes"].append(routeJson("once", "non_idempotent", "calls", false, 1));
    root["routes"].append(routeJson("stream", "streaming", "streams", true, 2));
    root["routes"].append(routeJson("whole", "streaming", "streams", false, 1));
    if (withExtraRoute)
        root["routes"].append(routeJson("extra", "idempotent", "calls", false, 2));
    for (int i = 0; m_options.capacity && i < Priorities; ++i) {
        root["routes"].append(
                routeJson(priorityRoute("safe", i), "idempotent", "calls", false, 2, i));
        root["routes"].append(
                routeJson(priorityRoute("once", i), "non_idempotent", "calls", false, 1, i));
        root["routes"].append(
                routeJson(priorityRoute("stream", i), "streaming", "streams", true, 2, i));
        root["routes"].append(
                routeJson(priorityRoute("whole", i), "streaming", "streams", false, 1, i));
    }
    for (Json::Value &it : root["routes"])
        it["timeout-ms"] = static_cast<Json::Int64>(m_options.routeTimeout.count());
    for (const char *it : {"calls", "streams"}) {
        Json::Value service(Json::objectValue);
        service["name"] = it;
        service["max-connections"] = 300;
        service["cold-per-s"] = ColdPerSecond;
        service["health-path"] = "/health";
        root["services"].append(service);
    }
    root["limits"]["idle-timeout-ms"] = static_cast<Json::Int64>(m_idleTimeout.count());
    Json::Value workspace(Json::objectValue);
    workspace["name"] = "archive";
    workspace["api-keys"] = Json::Value(Json::arrayValue);
    for (const std::string &it : keys)
        workspace["api-keys"].append(it);
    root["tenants"].append(workspace);
    for (std::size_t i = 0; m_options.capacity && i < Workspaces; ++i) {
        Json::Value other(Json::objectValue);
        other["name"] = workspaceName(i);
        other["api-keys"].append(workspaceKey(i));
        root["tenants"].append(other);
    }
    writeRow("op", "config", root);
    return m_version;
}

/// Each router connects from an address of its own, so that a proxy can tell them apart.
std::string EntryFleet::sourceIp(std::size_t router)
{
    constexpr std::size_t FirstHost = 10;
    return fmt::format("127.0.1.{}", FirstHost + router);
}

Json::Value EntryFleet::sourceIps(const std::set<std::size_t> &routers)
{
    Json::Value out(Json::arrayValue);
    for (const std::size_t it : routers)
        out.append(sourceIp(it));
    return out;
}

void EntryFleet::partition(const std::set<std::size_t> &routers, const std::string &how,
                           std::size_t first, std::size_t last)
{
    Json::Value root(Json::objectValue);
    root["partition"]["how"] = how;
    root["partition"]["sources"] = sourceIps(routers);
    for (std::size_t i = first; i < last; ++i)
        setReplicaProxyFaults(i, printJson(root));
}

void EntryFleet::stallPaths(const std::set<std::size_t> &routers, std::size_t i)
{
    Json::Value root(Json::objectValue);
    root["stall"]["sources"] = sourceIps(routers);
    setReplicaProxyFaults(i, printJson(root));
}

void EntryFleet::writeSettings(std::size_t i, const std::string &extra)
{
    const Router &it = m_routers[i];
    std::ofstream out(fmt::format("{}/router-{}.yaml", m_folder, i));
    out << fmt::format("name: \"router-{}\"\nfailure_domain: \"hall\"\ncaller_address: \"{}\"\n"
                       "readiness_address: \"{}\"\ndirectory_address: \"{}\"\n"
                       "peer_address: \"{}\"\nmetrics_address: \"{}\"\nstore_address: \"{}\"\n"
                       "store_writes_per_second: {}\n"
                       "source_ip: \"{}\"\nrepeats:\n  share: {}\n  slack: {}\n  window: 10s\n{}",
                       i, it.caller, it.readiness, it.directory, it.peer, it.metrics,
                       it.store.listen, RowWritesPerSecond, sourceIp(i), m_options.retryShare,
                       m_options.retrySlack, extra);
}

void EntryFleet::startRouter(std::size_t i)
{
    m_routers[i].process =
            spawn({"catkinloft", "entry", fmt::format("{}/router-{}.yaml", m_folder, i)},
                  fmt::format("router-{}", i));
}

bool EntryFleet::isReady(std::size_t i) const
{
    const Result<HttpAnswer> answer =
            Fleet::fetch({.address = m_routers.at(i).readiness, .target = "/v1/readiness"});
    return answer && answer.value().head.status == 200;
}

void EntryFleet::start()
{
    startStore();
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
        m_replicas[i].address = loopbackAddress();
        startProxy(m_replicas[i].proxy, m_replicas[i].address, fmt::format("proxy-{}", i));
        startReplica(i);
        registerReplica(i, "ready");
    }
    for (const Replica &it : m_replicas)
        Fleet::waitUntilListening({it.address, it.proxy.control});
    writeConfig({Key});
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        Router &it = m_routers[i];
        it.caller = loopbackAddress();
        it.directory = loopbackAddress();
        it.readiness = loopbackAddress();
        it.peer = loopbackAddress();
        it.metrics = loopbackAddress();
        startProxy(it.store, m_store, fmt::format("store-path-{}", i));
        writeSettings(i, m_options.extraSettings);
        startRouter(i);
    }
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        if (!Fleet::waitFor([&] { return isReady(i); }))
            throw std::runtime_error("router did not become ready in time");
    }
}

void EntryFleet::setReplicaProxyFaults(std::size_t i, const std::string &faults)
{
    post(m_replicas.at(i).proxy.control, "/v1/faults", faults);
}

int EntryFleet::copiedRefusals(std::size_t i) const
{
    const Result<HttpAnswer> answer =
            Fleet::fetch({.address = m_replicas.at(i).proxy.control, .target = "/v1/faults"});
    if (!answer)
        throw std::runtime_error("proxy of replica " + replicaId(i) + " does not answer");
    const Result<Json::Value> state = parseJsonObject(answer.value().body);
    return state ? state.value()["copied_refusals"].asInt() : 0;
}

void EntryFleet::setStoreProxyFaults(std::size_t i, const std::string &faults)
{
    post(m_routers.at(i).store.control, "/v1/faults", faults);
}

bool EntryFleet::setReplicaFaults(std::size_t i, const std::string &shares)
{
    Replica &it = m_replicas.at(i);
    bool taken = false;
    const bool decided = Fleet::waitFor([&] {
        taken = tryPost(it.address, "/v1/control", shares);
        return taken || !it.process->isRunning();
    });
    if (!decided)
        throw std::runtime_error("replica " + it.id + " did not accept the faults");
    return taken;
}

void EntryFleet::setStoreMode(const std::string &mode, int delayMs)
{
    post(m_store, "/v1/control", fmt::format(R"({{"mode":"{}","delay_ms":{}}})", mode, delayMs));
}

void EntryFleet::forgetHistory()
{
    post(m_store, "/v1/operator", R"({"forget_history":true})");
}

void EntryFleet::copyStore()
{
    post(m_store, "/v1/operator", R"({"take_copy":true})");
}

void EntryFleet::restoreStore()
{
    post(m_store, "/v1/operator", R"({"restore_copy":true})");
}

std::vector<Json::Value> EntryFleet::arrivals() const
{
    return recorded(false);
}

std::vector<Json::Value> EntryFleet::misdirectedArrivals() const
{
    return recorded(true);
}

std::vector<Json::Value> EntryFleet::recorded(bool isMisdirected) const
{
    std::vector<Json::Value> out;
    for (const auto &entry : std::filesystem::directory_iterator(m_folder)) {
        if (entry.path().extension() != ".executions")
            continue;
        std::istringstream lines(readFile(entry.path().string()));
        for (std::string line; std::getline(lines, line);) {
            const Result<Json::Value> it = parseJsonObject(line);
            if (it && it.value()["misdirected"].asBool() == isMisdirected)
                out.push_back(it.value());
        }
    }
    return out;
}

std::vector<Json::Value> EntryFleet::executions() const
{
    std::vector<Json::Value> out = arrivals();
    std::erase_if(out, [](const Json::Value &it) { return it["turned_away"].asBool(); });
    return out;
}

std::string EntryFleet::routerLog(std::size_t i) const
{
    return readFile(fmt::format("{}/router-{}.log", m_folder, i));
}

std::string EntryFleet::eventLog(std::span<const std::string_view> events,
                                 std::size_t maxLines) const
{
    std::vector<std::string> found;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        std::istringstream lines(routerLog(i));
        for (std::string line; std::getline(lines, line);) {
            if (std::any_of(events.begin(), events.end(), [&](std::string_view it) {
                    return line.find(fmt::format("\"event\":\"{}\"", it)) != std::string::npos;
                }))
                found.push_back(std::move(line));
        }
    }
    // The time is the first field of a line.
    std::sort(found.begin(), found.end());
    found.resize(std::min(found.size(), maxLines));
    return fmt::format("{}", fmt::join(found, "\n"));
}

} // namespace catkinloft::standin
