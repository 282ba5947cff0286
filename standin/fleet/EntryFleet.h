#pragma once

#include "Net/HttpClient.h"
#include "fleet/ChildProcess.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

namespace catkinloft::standin {

/// \brief Real processes on loopback as the users' platform starts them: its store, replicas of two
/// services and entry routers. Replicas, and each router's way to the store, stand behind fault
/// proxies.
class EntryFleet
{
public:
    struct Options
    {
        std::string binaries; ///< Folder of the built programs.
        std::size_t routers = 3;
        std::size_t replicas = 3; ///< Of each of the services `calls` and `streams`.
        std::size_t domains = 1; ///< Failure domains, over which the replicas are spread in turn.
        std::string extraSettings = {}; ///< Further lines of each router's settings.
    };

    explicit EntryFleet(Options options);
    ~EntryFleet();

    /// \brief Starts everything and waits until every replica listens and every router is ready.
    /// Throws std::runtime_error where that does not happen in time.
    void start();

    /// \brief Starts router \a i, again after it was stopped.
    void startRouter(std::size_t i);

    /// \brief Writes the settings file of router \a i anew, with \a extra lines.
    void changeSettings(std::size_t i, const std::string &extra) { writeSettings(i, extra); }
    ChildProcess &router(std::size_t i) { return *m_routers.at(i).process; }
    std::size_t routerCount() const { return m_routers.size(); }
    const std::string &callerAddress(std::size_t i) const { return m_routers.at(i).caller; }
    const std::string &directoryAddress(std::size_t i) const { return m_routers.at(i).directory; }
    bool isReady(std::size_t i) const;

    ChildProcess &replica(std::size_t i) { return *m_replicas.at(i).process; }
    std::size_t replicaCount() const { return m_replicas.size(); }
    const std::string &replicaId(std::size_t i) const { return m_replicas.at(i).id; }

    /// \returns the failure domain of replica \a i.
    std::string domainOf(std::size_t i) const;

    /// \returns the failure domain of the replica that has or had \a id.
    std::string domainOfId(const std::string &id) const;

    /// \brief Starts replica \a i anew, with a new id, and registers it.
    void restartReplica(std::size_t i);

    /// \returns whether replica \a i has ended by itself, and that was seen at least \a minDowntime
    /// ago.
    bool hasExited(std::size_t i, Duration minDowntime);

    /// \brief Starts the replicas anew that have ended by themselves at least \a minDowntime ago.
    void restartExitedReplicas(Duration minDowntime);

    /// \brief Writes the entry of replica \a i, or removes it. \param cold how long it stays cold.
    void registerReplica(std::size_t i, const std::string &state, Duration cold = Duration::zero());
    void removeReplica(std::size_t i);

    /// \brief Asks that nothing be sent to replicas in \a domain, or takes that back.
    void evacuate(const std::string &domain);
    void endEvacuation(const std::string &domain);

    /// \brief Puts a configuration in force. \param keys API keys of the only workspace.
    /// \returns its version.
    std::uint64_t writeConfig(const std::vector<std::string> &keys, bool withExtraRoute = false);

    /// \brief Sets faults, a JSON object, at the proxy before replica \a i, or at the proxy between
    /// router \a i and the store.
    void setReplicaProxyFaults(std::size_t i, const std::string &faults);
    void setStoreProxyFaults(std::size_t i, const std::string &faults);

    /// \brief Sets shares of failing requests at replica \a i.
    /// \returns false where the replica ended before it took them.
    bool setReplicaFaults(std::size_t i, const std::string &shares);

    /// \brief Sets the mode of the store for all; \sa PlatformStandin
    void setStoreMode(const std::string &mode, int delayMs = 0);

    /// \brief Makes the store forget the changes so far.
    void forgetHistory();

    /// \returns what all replicas executed since the start, killed ones included.
    std::vector<Json::Value> executions() const;

    /// \returns the same with the requests that they turned away.
    std::vector<Json::Value> arrivals() const;

    /// \returns the log lines of router \a i so far.
    std::string routerLog(std::size_t i) const;

    const std::string &folder() const { return m_folder; }

    static constexpr const char *Host = "entry.example";
    static constexpr const char *Key = "first-key";

    /// Requests a second that a cold replica bears from all routers together.
    static constexpr int ColdPerSecond = 20;

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
        Proxy store;
        std::unique_ptr<ChildProcess> process;
    };
    struct Replica
    {
        std::string service;
        std::string id;
        std::string address;
        int starts = 0;
        std::optional<TimePoint> exitedAt = {}; ///< When it was first seen not to run.
        Proxy proxy;
        std::unique_ptr<ChildProcess> process;
    };

    void startStore();
    void startProxy(Proxy &proxy, const std::string &target, const std::string &name);
    void startReplica(std::size_t i);
    void writeSettings(std::size_t i, const std::string &extra);
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
    std::uint64_t m_version = 0;
};

} // namespace catkinloft::standin
