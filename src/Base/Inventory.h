#pragma once

#include "Base/Clock.h"
#include "Base/YamlSection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief A failure domain and its region.
struct Place
{
    std::string name = {}; ///< Name of the failure domain.
    std::string region = {};

    bool operator==(const Place &) const = default;
};

/// \brief An engine: a server of one model.
struct Engine
{
    std::string name = {};
    std::string model = {};
    std::string address = {}; ///< `ip:port`.
    std::string failureDomain = {};
    double weight = 1.0; ///< Capacity relative to the other engines of the model.
    int slots = 32; ///< Requests that it processes in one batch.
    bool checksFencing = false; ///< Whether it refuses orders with an outdated fencing number.
    bool leaving = false; ///< It is about to be shut down and gets no new requests.
    std::vector<std::string> adapters = {}; ///< Adapters that it should have loaded.
    std::string version = {}; ///< Model version that it should run; empty: any.
    std::string role = "serve"; ///< `serve` or `standby`.

    bool operator==(const Engine &) const = default;
};

/// \brief One replica of a plain service.
struct ServiceReplica
{
    std::string address = {}; ///< `ip:port`.
    std::string failureDomain = {};
    bool leaving = false;

    bool operator==(const ServiceReplica &) const = default;
};

/// \brief A plain service and its guarantees.
struct Service
{
    std::string name = {};
    std::vector<ServiceReplica> replicas = {};
    std::vector<std::string> idempotentMethods = {}; ///< HTTP methods that are safe to retry.
    std::vector<int> notRunStatuses = {}; ///< Statuses that guarantee that nothing was executed.
    Duration timeout = std::chrono::seconds(30); ///< Longest wait for the complete answer.
    int concurrency = 64; ///< Concurrent calls that one replica accepts.

    bool operator==(const Service &) const = default;
};

/// \brief A customer, identified by an API key.
struct Workspace
{
    std::string name = {};
    std::string keySha256 = {}; ///< SHA-256 of its API key, 64 hexadecimal digits.
    double weight = 1.0; ///< Share of a saturated engine, relative to other workspaces.
    bool isProtected = false; ///< Served before the others when requests have to be refused.
    int maxInFlight = 0; ///< Requests in progress on one router; 0: not limited.

    bool operator==(const Workspace &) const = default;
};

/// \brief A person who may change the configuration.
struct Operator
{
    std::string name = {};
    std::string keySha256 = {};

    bool operator==(const Operator &) const = default;
};

/// \brief Limits and timeouts that operators choose.
struct Rules
{
    double loadBound = 1.25; ///< Highest load of an engine, as a multiple of the mean.
    Duration queueSojourn = std::chrono::seconds(2); ///< Longest wait in a queue.
    int queueLength = 64; ///< Queued requests of one workspace on one router.
    double retryShare = 0.1; ///< Retries as a share of first attempts.
    Duration progressTimeout = std::chrono::seconds(3); ///< Longest pause of a stream.
    Duration requestTimeout = std::chrono::seconds(120); ///< Used if a caller sends no deadline.
    Duration addressLifetime = std::chrono::seconds(20); ///< How long callers cache an address.
    double maxEjectedShare = 0.34; ///< Share of a pool that may be ejected at the same time.

    bool operator==(const Rules &) const = default;
};

/// \brief A validated inventory: the operators' engines, services, workspaces and rules.
///
/// It is immutable after parsing and shared by `InventoryPtr`, so that a request uses the same
/// revision from start to end.
class Inventory
{
public:
    std::uint64_t revision = 0; ///< Incremented by every accepted change; 0: none yet.
    std::vector<Place> places;
    std::vector<Engine> engines;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    std::vector<Operator> operators;
    Rules rules;

    /// \brief Parses and validates \a text and adds every error to \a problems.
    /// \param file file name for error messages.
    /// \returns null if there was an error.
    static std::shared_ptr<const Inventory> parse(const std::string &text, const std::string &file,
                                                  std::uint64_t revision, YamlProblems &problems);

    /// \returns the workspace whose key hashes to \a keySha256, or nullptr.
    const Workspace *workspaceByKey(std::string_view keySha256) const;
    const Operator *operatorByKey(std::string_view keySha256) const;
    const Workspace *workspace(std::string_view name) const;
    const Service *service(std::string_view name) const;

    /// \returns indexes into `engines` of the engines of \a model; empty for an unknown model.
    const std::vector<std::size_t> &enginesOf(std::string_view model) const;

    /// \brief Builds the indexes for the lookups above. Call it once, after filling the lists.
    void buildIndexes();

private:
    std::map<std::string, std::size_t, std::less<>> m_workspaceByKey;
    std::map<std::string, std::size_t, std::less<>> m_operatorByKey;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byModel;
};

using InventoryPtr = std::shared_ptr<const Inventory>;

} // namespace catkinloft
