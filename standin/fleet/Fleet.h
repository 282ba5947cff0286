#pragma once

#include "Net/HttpClient.h"
#include "fleet/ChildProcess.h"
#include "fleet/Deployment.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <json/json.h>

namespace catkinloft::standin {

/// \brief Real processes of one deployment on loopback: platform, engines, plain service and
/// routers. Everything is stopped with it.
class Fleet
{
public:
    struct Options
    {
        Deployment deployment;
        std::string binaries; ///< Folder of the built programs.
        std::vector<std::string> engineFlags = {}; ///< Further flags of each engine.
        std::vector<std::string> serviceFlags = {}; ///< Further flags of each replica.
        std::string serviceTimeout = "10s"; ///< Of a call, in the inventory.
        std::string extraRules = {}; ///< Lines under `rules:` of the inventory.
        std::string extraSettings = {}; ///< Further lines of each router's settings.
        bool proxiedUpstreams = false; ///< Engines and replicas stand behind fault proxies.
        bool proxiedPlatform = false; ///< So do the table service and the object store.
    };

    explicit Fleet(Options options);
    ~Fleet();

    /// \brief Starts everything, applies the first configuration and waits until every upstream
    /// listens and every router has the configuration. Throws std::runtime_error with the reason
    /// where that does not happen in time.
    void start();

    /// \brief Starts router \a i, again after it was stopped.
    void startRouter(std::size_t i);

    /// \returns the process of router \a i, of engine or replica \a i, or of a platform role.
    ChildProcess &router(std::size_t i);
    ChildProcess &engine(std::size_t i);
    ChildProcess &replica(std::size_t i);
    ChildProcess &platform(const std::string &role);

    const std::string &routerAddress(std::size_t i) const { return m_routerAddresses.at(i); }
    const std::string &engineAddress(std::size_t i) const { return m_engineAddresses.at(i); }
    const std::string &replicaAddress(std::size_t i) const { return m_replicaAddresses.at(i); }
    const std::string &platformAddress(const std::string &role) const
    {
        return m_platformAddresses.at(role);
    }

    /// \returns the API key of workspace \a i.
    static std::string workspaceKey(int i);
    static std::string workspaceName(int i);
    static std::string operatorKey();

    const Deployment &deployment() const { return m_options.deployment; }
    const std::string &folder() const { return m_folder; }

    /// \returns the inventory as YAML; \a edit may change each address before it is written, so
    /// that a proxy can stand in between.
    std::string inventory(const std::function<std::string(std::string)> &edit = {}) const;

    /// \returns where routers reach what listens at \a address: its proxy, if there is one.
    std::string proxiedAddress(const std::string &address) const;

    /// \brief Sets \a faults, a JSON object, at the proxy before \a address.
    void setProxyFaults(const std::string &address, const std::string &faults);

    /// \brief Sets the mode of a platform role, with further members in \a more.
    void setPlatformMode(const std::string &role, const std::string &mode,
                         const std::string &more = {});

    /// \brief Starts engine or replica \a i, again after it was stopped.
    void startEngine(std::size_t i);
    void startReplica(std::size_t i);

    /// \returns what all engines and replicas executed since the start, killed ones included.
    std::vector<Json::Value> executions() const;

    /// \brief Puts \a inventory in force through router \a i.
    /// \returns the answer's status; 0 where there was none.
    int apply(const std::string &inventory, std::size_t i = 0);

    /// \brief Sends one request and waits for its answer.
    static Result<HttpAnswer> fetch(HttpCall call);

    /// \returns whether \a address, IP:PORT, accepts connections. Sends nothing, so that what
    /// listens there takes it for no request.
    static bool isListening(const std::string &address);

    /// \brief Waits until all \a addresses accept connections. Throws std::runtime_error with the
    /// first that does not in time.
    static void waitUntilListening(const std::vector<std::string> &addresses);

    /// \brief Tries \a condition until it holds.
    /// \returns false where it did not hold within \a limit.
    static bool waitFor(const std::function<bool()> &condition,
                        Duration limit = std::chrono::seconds(20));

    /// \returns the log lines of router \a i so far.
    std::string routerLog(std::size_t i) const;

    /// \brief Tells the VM list which routers there are. \param leaving their numbers.
    void publishVms(const std::vector<std::size_t> &gone = {},
                    const std::vector<std::size_t> &leaving = {});

private:
    std::string logFile(const std::string &name) const;
    void startPlatform();
    void startUpstreams();
    void startProxies();
    void writeSettings(std::size_t i);
    std::string recordFile(const std::string &name) const;
    void spawn(std::unique_ptr<ChildProcess> &into, std::vector<std::string> command,
               const std::string &name);

    struct Proxy
    {
        std::string listen;
        std::string control;
        std::unique_ptr<ChildProcess> process;
    };

    Options m_options;
    std::string m_folder;
    std::map<std::string, Proxy> m_proxies; ///< By the address behind them.
    std::map<std::string, std::string> m_platformAddresses;
    std::vector<std::string> m_engineAddresses;
    std::vector<std::string> m_replicaAddresses;
    std::vector<std::string> m_routerAddresses;
    std::vector<std::string> m_peerAddresses;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_platform;
    std::vector<std::unique_ptr<ChildProcess>> m_engines;
    std::vector<std::unique_ptr<ChildProcess>> m_replicas;
    std::vector<std::unique_ptr<ChildProcess>> m_routers;
};

} // namespace catkinloft::standin
