#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"
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
    Duration proofAge = Duration::max(); ///< \sa RouterBeat::proofAge
    std::optional<Packed> config = {}; ///< Only where the asker has an older one.

    Duration replicasAge = Duration::max(); ///< Duration::max(): never read.
    std::uint64_t replicasHash = 0;
    std::uint64_t replicasVersion = 0; ///< Of the store when they were read.
    std::optional<Packed> replicas = {}; ///< Only where the asker has others.

    PromptsByReplica prompts = {};

    /// \returns the state as one body: a line of JSON, then the packed texts.
    std::string encode() const;

    /// \returns the state in \a body; MalformedRequest where it holds none.
    static Result<PeerState> decode(std::string_view body);
};

/// \brief Keeps the packed form of the text that was asked for last.
class PackedText
{
public:
    /// \returns \a text packed; \a version tells it from others.
    const PeerState::Packed &of(std::uint64_t version, std::string_view text);

private:
    std::uint64_t m_version = 0;
    PeerState::Packed m_packed;
};

} // namespace catkinloft
