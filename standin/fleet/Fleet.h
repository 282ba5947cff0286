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

/// \brief Runs the processes of one deployment on loopback: platform, engines, replicas of a plain
/// service and routers. The destructor kills all of them.
class Fleet
{
public:
    struct Options
    {
        Deployment deployment;
        std::string binaries; ///< Directory of the built programs.
        std::vector<std::string> engineFlags = {}; ///< Additional flags of each engine.
        std::vector<std::string> serviceFlags = {}; ///< Additional flags of each replica.
        std::string serviceTimeout = "10s"; ///< Timeout of a call in the inventory.
        std::string extraRules = {}; ///< Lines under `rules:` of the inventory.
        std::string extraSettings = {}; ///< Additional lines of each router's settings.
        bool proxiedUpstreams = false; ///< Engines and replicas are behind fault proxies.
        bool proxiedPlatform = false; ///< So are the platform's services.
    };

    explicit Fleet(Options options);
    ~Fleet();

    /// \brief Starts all processes, applies the first configuration and waits until every upstream
    /// listens and every router has the configuration. Throws std::runtime_error with the reason
    /// if that does not happen in time.
    void start();

    /// \brief Starts or restarts router \a i.
    void startRouter(std::size_t i);

    /// \returns the process of router, engine or replica \a i, or of a platform role.
    ChildProcess &router(std::size_t i);
    ChildProcess &engine(std::size_t i);
    ChildProcess &replica(std::size_t i);
    ChildProcess &platform(const std::string &role);

    const std::string &routerAddress(std::size_t i) const { return m_routerAddresses.at(i); }
    const std::string &peerAddress(std::size_t i) const { return m_peerAddresses.at(i); }
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

    /// \returns the inventory as YAML.
    /// \param edit maps each upstream's address to the one that is written, such as that of a
    /// proxy; by default, that of the upstream's fault proxy if it has one.
    std::string inventory(const std::function<std::string(std::string)> &edit = {}) const;

    /// \returns the address of the fault proxy in front of \a address, or \a address if there is
    /// none.
    std::string proxiedAddress(const std::string &address) const;

    /// \brief Sets \a faults, a JSON object, at the proxy in front of \a address.
    void setProxyFaults(const std::string &address, const std::string &faults);

    /// \brief Sets the mode of a platform role.
    /// \param more further members of the JSON object, each with a leading comma.
    void setPlatformMode(const std::string &role, const std::string &mode,
                         const std::string &more = {});

    /// \brief Starts or restarts engine or replica \a i.
    void startEngine(std::size_t i);
    void startReplica(std::size_t i);

    /// \returns the executions of all engines and replicas since the start, including killed ones.
    std::vector<Json::Value> executions() const;

    /// \brief Applies \a inventory through router \a i.
    /// \returns the status of the answer, or 0 if there was none.
    int apply(const std::string &inventory, std::size_t i = 0);

    /// \brief Sends one request and waits for its answer.
    static Result<HttpAnswer> fetch(HttpCall call);

    /// \returns whether \a address, IP:PORT, accepts connections. Sends no request, so that the
    /// process listening there does not record one.
    static bool isListening(const std::string &address);

    /// \brief Waits until all \a addresses accept connections. Throws std::runtime_error with the
    /// first one that does not do so in time.
    static void waitUntilListening(const std::vector<std::string> &addresses);

    /// \brief Polls \a condition until it holds.
    /// \returns false if it did not hold within \a limit.
    static bool waitFor(const std::function<bool()> &condition,
                        Duration limit = std::chrono::seconds(20));

    /// \returns the log of router \a i so far.
    std::string routerLog(std::size_t i) const;

    /// \brief Writes the routers to the VM list.
    /// \param gone indexes of routers that are omitted.
    /// \param leaving indexes of routers in state `leaving`.
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
    std::map<std::string, Proxy> m_proxies; ///< By target address.
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
