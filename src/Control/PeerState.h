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

/// \brief What one router tells another that asks for its state: what it read from the store, how
/// old that is, and which prompts replicas keep.
struct PeerState
{
    /// \brief A text as read from the store, compressed once for all who ask.
    struct Packed
    {
        std::string bytes = {}; ///< \sa compress()

        static Packed of(std::string_view text);

        /// \returns the text; an error where it is none.
        Result<std::string> text() const;
    };

    std::uint64_t revision = 0; ///< Of the configuration in force; 0: none is.
    Duration proofAge = Duration::max(); ///< \sa RouterHeartbeat::proofAge
    std::optional<Packed> config = {}; ///< Only where the asker has an older one.
    std::uint64_t configBase = 0; ///< Revision that \a config is a change of; 0: it is whole.
    EvacuatedDomains::State evacuated = {};

    Duration replicasAge = Duration::max(); ///< Duration::max(): never read.
    std::uint64_t replicasHash = 0;
    std::uint64_t replicasVersion = 0; ///< Of the store when they were read.
    std::optional<Packed> replicas = {}; ///< ReplicaUpdate, only where the asker has others.

    PromptsByReplica prompts = {};

    /// \returns the state as one body: a line of JSON, then the packed texts.
    std::string encode() const;

    /// \returns the state in \a body; MalformedRequest where it holds none.
    static Result<PeerState> decode(std::string_view body);
};

} // namespace catkinloft
