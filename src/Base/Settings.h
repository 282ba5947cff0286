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
    std::size_t maxBodyBytes = 4 * 1024 * 1024; ///< A long finding aid fits with room to spare.
    int maxConnections = 10'000;
    Duration idleTimeout = std::chrono::seconds(60); ///< Longest silence on a connection.
};

/// \brief Where the platform's services are, as `ip:port`.
struct PlatformSettings
{
    std::string tableService;
    std::string objectStore;
    std::string vmList;
    std::string weightStore;
    Duration timeout = std::chrono::seconds(2); ///< Longest wait for one answer.
};

/// \brief Certificate and key of a listener; empty paths: plain TCP.
struct TlsSettings
{
    std::string certificateFile;
    std::string keyFile;
    std::string caFile; ///< Certificates that upstreams are checked against; empty: plain TCP.
};

/// \brief A secret shared by all routers, with the id that goes on the wire.
struct SharedKey
{
    std::string id;
    std::string secret;
};

/// \brief What a router process learns from its settings file.
struct Settings
{
    std::string name; ///< Unique among the routers alive at one time.
    std::string failureDomain;
    std::string region;
    std::string callerAddress; ///< `ip:port` that callers connect to.
    std::string peerAddress; ///< `ip:port` for routers, TCP and UDP.
    std::vector<std::string> seeds; ///< Peer addresses to try before the VM list has answered.
    std::vector<SharedKey> peerKeys; ///< The first one signs, every one is accepted.
    std::vector<SharedKey> refusalKeys; ///< The first one signs, every one is accepted.
    std::string bootstrapKeySha256; ///< Who may set the first configuration; empty: nobody.
    PlatformSettings platform;
    ListenerLimits limits;
    TlsSettings tls;
    /// How long a stopping router still takes new work, from callers that have not heard of it.
    Duration drainGrace = std::chrono::seconds(3);
    Duration drainTimeout = std::chrono::seconds(30); ///< Longest wait for requests in progress.
    std::size_t maxStreamBuffer = 256 * 1024; ///< Bytes held for one slow caller.
    std::size_t maxBuffered = 128 * 1024 * 1024; ///< Bytes held for all callers together.

    /// \brief Parses and checks \a text, reporting every mistake.
    /// \returns nothing where there was any problem.
    static std::shared_ptr<const Settings> parse(const std::string &text, const std::string &file,
                                                 YamlProblems &problems);
};

} // namespace catkinloft
