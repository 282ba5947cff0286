#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief One running replica of a service, as it registered itself.
struct ReplicaRecord
{
    std::string id = {}; ///< New with each start of the replica.
    std::string service = {};
    std::string address = {}; ///< `ip:port`; another service may get it once the replica is gone.
    std::string failureDomain = {};
    int slots = 1; ///< Requests that it works on at once.
    bool draining = false; ///< Takes no new requests.
};

/// \brief All replicas as of one moment of the store.
struct ReplicaSnapshot
{
    std::uint64_t storeVersion = 0; ///< Rises with every change of the store.
    std::vector<ReplicaRecord> replicas = {};
    std::string sourceText = {}; ///< As read, so that another router can decode the same.
};

} // namespace catkinloft
