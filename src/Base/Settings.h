#pragma once

#include "Base/Clock.h"
#include "Base/YamlSection.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Limits of one listener.
struct ListenerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024; ///< Large enough for a long finding aid.
    int maxConnections = 10'000;
    Duration idleTimeout = std::chrono::seconds(60); ///< Longest time without data on a connection.
    /// Longest time from the first byte of a head to its end.
    Duration headerTimeout = std::chrono::seconds(60);
};

/// \brief Addresses of the platform's services, each `ip:port`.
struct PlatformSettings
{
    std::string tableService;
    std::string objectStore;
    std::string vmList;
    std::string weightStore;
    Duration timeout = std::chrono::seconds(2); ///< Timeout of one call.
};

/// \brief Certificate and key files of a listener. With empty paths it uses plain TCP.
struct TlsSettings
{
    std::string certificateFile;
    std::string keyFile;
    std::string caFile; ///< CA certificates to verify upstreams with; empty: plain TCP.
};

/// \brief A secret that all routers share, and its id, which is sent with signatures.
struct SharedKey
{
    std::string id;
    std::string secret;
};

/// \brief Settings file of a router process.
struct Settings
{
    std::string name; ///< Unique among the running routers.
    std::string failureDomain;
    std::string region;
    std::string callerAddress; ///< `ip:port` that callers connect to.
    std::string peerAddress; ///< `ip:port` for routers, TCP and UDP.
    std::vector<std::string> seeds; ///< Peer addresses to use until the VM list answers.
    std::vector<SharedKey> peerKeys; ///< The first one signs; all are accepted.
    std::vector<SharedKey> refusalKeys; ///< The first one signs; all are accepted.
    /// Hash of the key that may set the first configuration; empty: nobody may.
    std::string bootstrapKeySha256;
    PlatformSettings platform;
    ListenerLimits limits;
    TlsSettings tls;
    /// How long a stopping router still accepts new requests, because callers may not yet know that
    /// it stops.
    Duration drainGrace = std::chrono::seconds(3);
    Duration drainTimeout = std::chrono::seconds(30); ///< Longest wait for requests in progress.
    std::size_t maxStreamBuffer = 256 * 1024; ///< Bytes buffered for one slow caller.
    /// Bytes of memory for requests that callers and routers send and answers that they don't read.
    std::size_t maxRequestMemory = 96 * 1024 * 1024;
    std::size_t maxBuffered = 128 * 1024 * 1024; ///< Bytes buffered for all callers together.

    /// \brief Parses and validates \a text and adds every error to \a problems.
    /// \returns null if there was an error.
    static std::shared_ptr<const Settings> parse(const std::string &text, const std::string &file,
                                                 YamlProblems &problems);
};

} // namespace catkinloft
