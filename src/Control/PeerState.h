#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"
#include "Control/EvacuatedDomains.h"
#include "Control/ReplicaUpdate.h"
#include "Decide/ReplicaPool.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief State that a router sends to a peer on request: what it read from the store, the age of
/// that, and which prompts the replicas cache.
struct PeerState
{
    /// \brief A text read from the store, compressed once for all requests.
    struct Packed
    {
        std::string bytes = {}; ///< \sa compress()

        static Packed of(std::string_view text);

        /// \returns the decompressed text, or an error.
        Result<std::string> text() const;
    };

    std::uint64_t revision = 0; ///< Of the active configuration; 0: none.
    Duration proofAge = Duration::max(); ///< \sa RouterHeartbeat::proofAge
    std::optional<Packed> config = {}; ///< Set if the requester has an older one.
    /// Revision that \a config is a delta to; 0: \a config is a full configuration.
    std::uint64_t configBase = 0;
    EvacuatedDomains::State evacuated = {};

    Duration replicasAge = Duration::max(); ///< Duration::max(): never read.
    std::uint64_t replicasHash = 0;
    StorePosition replicasPosition = {}; ///< Position of the store at that read.
    /// A ReplicaUpdate; set if the requester has other replicas.
    std::optional<Packed> replicas = {};

    PromptsByReplica prompts = {};

    /// \returns the state as one HTTP body: a line of JSON, then the compressed texts.
    std::string encode() const;

    /// \returns the state in \a body; MalformedRequest if it cannot be parsed.
    static Result<PeerState> decode(std::string_view body);
};

} // namespace catkinloft
