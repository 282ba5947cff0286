#pragma once

#include "Base/Metrics.h"
#include "Base/ReplicaRecord.h"
#include "Net/CrashWatch.h"
#include "Net/HttpExchange.h"
#include "Net/RelayCodec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloft {

class EventLoop;

/// \brief Relays requests of other routers to replicas that those have lost their path to.
///
/// The sender has chosen the replica and counts the request; this router only forwards it, to that
/// replica or not at all, and returns the answer as it arrives. Requests that are not signed with
/// the key of the fleet are refused. The requests of this router's own callers come first: the
/// number of relayed requests is limited, and the sender learns at once that the limit is reached.
class RelayServer
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        Metrics &metrics;
        CrashWatch &crashes;
        std::string sourceIp = {}; ///< IP that connections are opened from; empty: any.
        std::string requestIdHeader = {}; ///< \sa WireCodec::requestIdHeader
        std::size_t maxBacklog = 256 * 1024; ///< Bytes buffered for one slow sender.
        /// Whether a signature of the key of the fleet is valid for a text.
        std::function<bool(std::string_view signature, std::string_view text)> verify;
        /// The registered replica with an incarnation that may get requests, or null.
        std::function<const ReplicaRecord *(std::string_view incarnation)> findReplica;
        /// Whether this router has lost its path to a replica.
        std::function<bool(const ReplicaRecord &)> isPathLost;
        /// Checks whether the paths of this router work while it is refused by a replica.
        /// \sa CrashEvidence::checkPaths()
        std::function<void(const ReplicaRecord &, std::function<void(bool working)> done)>
                checkPaths = [](const ReplicaRecord &, const std::function<void(bool)> &done) {
                    done(true);
                };
        /// Whether a replica is known to have crashed so long ago that the attempts which break now
        /// were sent after it.
        std::function<bool(const ReplicaRecord &)> hasCrashedBefore = [](const ReplicaRecord &) {
            return false;
        };
        /// Time since the last byte from a replica arrived on a direct connection; std::nullopt:
        /// none has arrived.
        std::function<std::optional<Duration>(const ReplicaRecord &)> sinceReceived =
                [](const ReplicaRecord &) { return std::nullopt; };
        /// Called when this router could not connect to a replica.
        std::function<void(const ReplicaRecord &)> pathFailed = [](const ReplicaRecord &) {};
        /// Whether the proof that API keys are valid is fresh enough. A router that was suspended
        /// must not forward what was queued meanwhile.
        std::function<bool()> isProofFresh;
        std::function<bool()> isLeaving;
    };

    explicit RelayServer(Options options);
    ~RelayServer();
    RelayServer(const RelayServer &) = delete;
    RelayServer &operator=(const RelayServer &) = delete;

    /// \brief Answers the question of a router, or relays its request.
    void handle(const HttpExchangePtr &exchange);

    /// \returns whether \a exchange is meant for handle().
    static bool accepts(const HttpExchange &exchange);

    std::size_t inProgress() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
