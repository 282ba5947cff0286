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

/// \brief A failure domain and the region that it lies in.
struct Place
{
    std::string name = {}; ///< Name of the failure domain.
    std::string region = {};

    bool operator==(const Place &) const = default;
};

/// \brief A model engine, one replica of one model.
struct Engine
{
    std::string name = {};
    std::string model = {};
    std::string address = {}; ///< `ip:port`.
    std::string failureDomain = {};
    double weight = 1.0; ///< Capacity relative to the other engines of the model.
    int slots = 32; ///< Requests that it batches at a time.
    bool checksFencing = false; ///< Whether it refuses an order with an old fencing number.
    bool leaving = false; ///< A planned leave: it gets no new work.
    std::vector<std::string> adapters = {}; ///< Adapters that it is meant to have loaded.
    std::string version = {}; ///< Model version that it is meant to run; empty: any.
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

/// \brief A plain service and its contract.
struct Service
{
    std::string name = {};
    std::vector<ServiceReplica> replicas = {};
    std::vector<std::string> idempotentMethods = {}; ///< Methods that may be repeated.
    std::vector<int> notRunStatuses = {}; ///< Statuses by which it promises that it did nothing.
    Duration timeout = std::chrono::seconds(30); ///< Longest wait for a whole answer.
    int concurrency = 64; ///< Calls in progress that one replica takes.

    bool operator==(const Service &) const = default;
};

/// \brief A customer of the system.
struct Workspace
{
    std::string name = {};
    std::string keySha256 = {}; ///< SHA-256 of its API key, 64 hexadecimal digits.
    double weight = 1.0; ///< Share of a saturated engine, relative to the others.
    bool isProtected = false; ///< Served before the rest when work has to be refused.
    int maxInFlight = 0; ///< Requests in progress on a router; 0: no limit of its own.

    bool operator==(const Workspace &) const = default;
};

/// \brief Who may change the configuration.
struct Operator
{
    std::string name = {};
    std::string keySha256 = {};

    bool operator==(const Operator &) const = default;
};

/// \brief What operators decide on top of what they own.
struct Rules
{
    double loadBound = 1.25; ///< Most work of an engine, as a multiple of the mean.
    Duration queueSojourn = std::chrono::seconds(2); ///< Longest wait in a queue.
    int queueLength = 64; ///< Longest queue of one workspace on one router.
    double retryShare = 0.1; ///< Retries as a share of first attempts.
    Duration progressTimeout = std::chrono::seconds(3); ///< Longest silence of a stream.
    Duration requestTimeout = std::chrono::seconds(120); ///< Deadline where a caller names none.
    Duration addressLifetime = std::chrono::seconds(20); ///< How long an address answer is kept.
    double maxEjectedShare = 0.34; ///< Most engines of a pool that may be ejected at once.

    bool operator==(const Rules &) const = default;
};

/// \brief What the operators own and the rules on top, as one checked value.
///
/// Immutable once parsed; every user holds it by `InventoryPtr`, so that a request sees one
/// revision from its start to its end.
class Inventory
{
public:
    std::uint64_t revision = 0; ///< Rises by one with every accepted change; 0: none yet.
    std::vector<Place> places;
    std::vector<Engine> engines;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    std::vector<Operator> operators;
    Rules rules;

    /// \brief Parses and checks \a text, reporting every mistake.
    /// \param file name used in messages.
    /// \returns nothing where there was any problem.
    static std::shared_ptr<const Inventory> parse(const std::string &text, const std::string &file,
                                                  std::uint64_t revision, YamlProblems &problems);

    /// \returns the workspace whose key hashes to \a keySha256, or nullptr.
    const Workspace *workspaceByKey(std::string_view keySha256) const;
    const Operator *operatorByKey(std::string_view keySha256) const;
    const Workspace *workspace(std::string_view name) const;
    const Service *service(std::string_view name) const;

    /// \returns positions in `engines` of the replicas of \a model; empty for an unknown one.
    const std::vector<std::size_t> &enginesOf(std::string_view model) const;

    /// \brief Makes the look-ups above work; to be called once after the lists were filled.
    void buildIndexes();

private:
    std::map<std::string, std::size_t, std::less<>> m_workspaceByKey;
    std::map<std::string, std::size_t, std::less<>> m_operatorByKey;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byModel;
};

using InventoryPtr = std::shared_ptr<const Inventory>;

} // namespace catkinloft
