#pragma once

#include "Net/HttpClient.h"
#include "fleet/ChildProcess.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <json/json.h>

namespace catkinloft::standin {

/// \brief Runs real processes on loopback as the users' platform starts them: the store, replicas
/// of two services and entry routers. The routers connect to the replicas and to the store through
/// fault proxies.
class EntryFleet
{
public:
    /// \brief Limits of a replica. A fleet with limits also has workspaces besides the first one,
    /// and routes of several priorities (\sa priorityRoute).
    struct Capacity
    {
        int slots = 4;
        int queue = 24;
        /// Time of a call in its slot; equals that of a stream with six events.
        Duration serviceTime = std::chrono::milliseconds(60);
    };

    struct Options
    {
        std::string binaries; ///< Directory of the built programs.
        std::size_t routers = 3;
        std::size_t replicas = 3; ///< Of each of the services `calls` and `streams`.
        /// Software versions; replicas get them in turn. Empty: all run `v1` and no event names it.
        std::vector<std::string> versions = {};
        std::size_t domains = 1; ///< Failure domains; replicas are assigned to them in turn.
        /// Retries that the routers may make in ten seconds: a share of the requests, and a slack.
        double retryShare = 0.2;
        int retrySlack = 60;
        std::string extraSettings = {}; ///< Additional lines of each router's settings.
        std::optional<Capacity> capacity = {}; ///< Of each replica; none: not limited.
        /// Time of a call, and until a replica crashes under a fatal request, without a capacity.
        Duration serviceTime = std::chrono::milliseconds(5);
        std::chrono::milliseconds routeTimeout{4000}; ///< Of all routes.
    };

    explicit EntryFleet(Options options);
    ~EntryFleet();

    /// \brief Starts all processes and waits until every replica listens and every router is ready.
    /// Throws std::runtime_error if that does not happen in time.
    void start();

    /// \brief Starts or restarts router \a i.
    void startRouter(std::size_t i);

    /// \brief Rewrites the settings file of router \a i with the additional lines \a extra.
    void changeSettings(std::size_t i, const std::string &extra) { writeSettings(i, extra); }
    ChildProcess &router(std::size_t i) { return *m_routers.at(i).process; }
    std::size_t routerCount() const { return m_routers.size(); }
    const std::string &callerAddress(std::size_t i) const { return m_routers.at(i).caller; }
    const std::string &directoryAddress(std::size_t i) const { return m_routers.at(i).directory; }
    const std::string &metricsAddress(std::size_t i) const { return m_routers.at(i).metrics; }
    const std::string &readinessAddress(std::size_t i) const { return m_routers.at(i).readiness; }
    const std::string &peerAddress(std::size_t i) const { return m_routers.at(i).peer; }
    bool isReady(std::size_t i) const;

    ChildProcess &replica(std::size_t i) { return *m_replicas.at(i).process; }
    std::size_t replicaCount() const { return m_replicas.size(); }
    const std::string &replicaId(std::size_t i) const { return m_replicas.at(i).id; }

    /// \returns the address of the proxy in front of replica \a i, where the routers reach it.
    const std::string &replicaAddress(std::size_t i) const { return m_replicas.at(i).proxy.listen; }

    /// \returns the failure domain of replica \a i.
    std::string domainOf(std::size_t i) const;

    /// \returns the failure domain of the replica with the current or former id \a id.
    std::string domainOfId(const std::string &id) const;

    /// \returns the software version with which replica \a i starts next.
    std::string versionOf(std::size_t i) const;

    /// \brief Sets the software version with which replica \a i starts next.
    void setVersion(std::size_t i, const std::string &version)
    {
        m_replicas.at(i).version = version;
    }

    /// \brief Restarts replica \a i with a new id and registers it.
    void restartReplica(std::size_t i);

    /// \brief Restarts replica \a i with its id, without a change of its registration.
    void resumeReplica(std::size_t i);

    /// \returns whether replica \a i has exited and this was first noticed at least \a minDowntime
    /// ago.
    bool hasExited(std::size_t i, Duration minDowntime);

    /// \brief Restarts the replicas for which hasExited() is true.
    void restartExitedReplicas(Duration minDowntime);

    /// \brief Writes the entry of replica \a i to the store, or removes it.
    /// \param cold how long the replica stays cold.
    void registerReplica(std::size_t i, const std::string &state, Duration cold = Duration::zero());
    void removeReplica(std::size_t i);

    /// \brief Writes \a text to the store as the entry of a replica \a id that doesn't exist.
    void writeReplicaEntry(const std::string &id, const std::string &text);

    /// \brief Registers a replica \a id at the address of replica \a i, which refuses what is sent
    /// to \a id. Such entries remain when a replica is replaced at its address.
    void registerFormerReplica(std::size_t i, const std::string &id);
    void removeFormerReplica(const std::string &id);

    /// \brief Asks the routers to send nothing to replicas in \a domain, or revokes that.
    void evacuate(const std::string &domain);
    void endEvacuation(const std::string &domain);

    /// \brief Writes a new configuration to the store.
    /// \param keys API keys of the only workspace.
    /// \returns the version of the configuration.
    std::uint64_t writeConfig(const std::vector<std::string> &keys, bool withExtraRoute = false);

    /// \brief Sets the idle timeout of callers' connections from the next configuration on.
    void setIdleTimeout(std::chrono::milliseconds timeout) { m_idleTimeout = timeout; }

    /// \brief Sets \a faults, a JSON object, at the proxy in front of replica \a i, or at the proxy
    /// between router \a i and the store.
    void setReplicaProxyFaults(std::size_t i, const std::string &faults);
    void setStoreProxyFaults(std::size_t i, const std::string &faults);

    /// \returns the number of refusals of replica \a i that the proxy in front of it sent twice.
    int copiedRefusals(std::size_t i) const;

    /// \brief Partitions the routers with the indices \a routers from the replicas from \a first to
    /// \a last, the second one excluded; no routers end the partition.
    /// \param how \sa FaultProxy
    void partition(const std::set<std::size_t> &routers, const std::string &how, std::size_t first,
                   std::size_t last);

    /// \brief Stalls the paths of the routers with the indices \a routers to replica \a i, and ends
    /// the stall of its other paths. \sa FaultProxy
    void stallPaths(const std::set<std::size_t> &routers, std::size_t i);

    /// \brief Sets the faults of ReplicaStandin at replica \a i.
    /// \param shares JSON object with the share of requests for each fault.
    /// \returns false if the replica exited before it accepted them.
    bool setReplicaFaults(std::size_t i, const std::string &shares);

    /// \brief Sets the mode of the store for all routers.
    /// \sa PlatformStandin
    void setStoreMode(const std::string &mode, int delayMs = 0);

    /// \brief Makes the store discard its change history.
    void forgetHistory();

    /// \brief Makes the store take a copy of itself, or return to that copy in a new era.
    void copyStore();
    void restoreStore();

    /// \brief Writes all rows of the operator and the replicas again, as they were last written.
    void rewriteRows();

    /// \returns the executions of all replicas since the start, including killed ones.
    std::vector<Json::Value> executions() const;

    /// \returns the executions and the requests that the replicas refused.
    std::vector<Json::Value> arrivals() const;

    /// \returns the requests that arrived at another replica than the one that they name.
    std::vector<Json::Value> misdirectedArrivals() const;

    /// \returns the log of router \a i so far.
    std::string routerLog(std::size_t i) const;

    /// \returns the log lines of all routers with one of \a events, by time. Of more than
    /// \a maxLines lines the first ones.
    std::string eventLog(std::span<const std::string_view> events, std::size_t maxLines) const;

    const std::string &folder() const { return m_folder; }

    static constexpr const char *Host = "entry.example";
    static constexpr const char *Key = "first-key";

    /// Requests per second that a cold replica can take from all routers together.
    static constexpr int ColdPerSecond = 20;

    /// Of a fleet with limited capacity: priorities of its routes, 0 to Priorities - 1, and number
    /// of additional workspaces.
    static constexpr int Priorities = 3;
    static constexpr std::size_t Workspaces = 4;

    /// \returns the name of the route like \a route (`safe`, `once`, `stream` or `whole`) with
    /// \a priority.
    static std::string priorityRoute(const std::string &route, int priority);

    /// \returns the name and the key of the additional workspace \a i.
    static std::string workspaceName(std::size_t i);
    static std::string workspaceKey(std::size_t i);

private:
    struct Proxy
    {
        std::string listen;
        std::string control;
        std::unique_ptr<ChildProcess> process;
    };
    struct Router
    {
        std::string caller;
        std::string directory;
        std::string readiness;
        std::string peer;
        std::string metrics;
        Proxy store;
        std::unique_ptr<ChildProcess> process;
    };
    struct Replica
    {
        std::string service;
        std::string id;
        std::string address;
        std::string version; ///< With which it starts next. Empty: \sa Options::versions
        std::string runningVersion = {}; ///< Of its process; the registration names this one.
        int starts = 0;
        std::optional<TimePoint> exitedAt = {}; ///< When its exit was first noticed.
        Proxy proxy;
        std::unique_ptr<ChildProcess> process;
    };

    std::vector<Json::Value> recorded(bool isMisdirected) const;
    void startStore();
    void startProxy(Proxy &proxy, const std::string &target, const std::string &name);
    void startReplica(std::size_t i);
    void launchReplica(Replica &it);
    static std::string sourceIp(std::size_t router);
    static Json::Value sourceIps(const std::set<std::size_t> &routers);
    void writeSettings(std::size_t i, const std::string &extra);
    Json::Value replicaEntry(std::size_t i, const std::string &state, Duration cold) const;
    void postRow(const std::string &table, const std::string &key, const Json::Value &value);
    void postRow(const std::string &table, const std::string &key,
                 const std::optional<std::string> &value);
    void writeRow(const std::string &table, const std::string &key, const Json::Value &value);
    static bool tryPost(const std::string &address, const std::string &target,
                        const std::string &body);
    static void post(const std::string &address, const std::string &target,
                     const std::string &body);
    std::unique_ptr<ChildProcess> spawn(std::vector<std::string> command, const std::string &name);

    Options m_options;
    std::string m_folder;
    std::string m_store;
    std::unique_ptr<ChildProcess> m_storeProcess;
    std::vector<Router> m_routers;
    std::vector<Replica> m_replicas;
    std::map<std::pair<std::string, std::string>, Json::Value> m_rows; ///< By table and key.
    std::uint64_t m_version = 0;
    std::chrono::milliseconds m_idleTimeout{15000};
};

} // namespace catkinloft::standin
