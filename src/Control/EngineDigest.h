#pragma once

#include "Control/EngineTracker.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace catkinloft {

/// \brief Summary of the engines that a router owns, announced to the other routers: the mean load
/// and only those engines that are unreachable or have a much higher load.
///
/// Handles 10,000 engines: reporting each load to every router would take 60 KB per round, while a
/// node may send 3 KB/s. Prevents chats from being routed to the router of an overloaded or dead
/// engine that can only forward them. The limit is 16 entries because, at 6 bytes each and a header
/// of 4 bytes, the digest then takes at most 134 characters whatever the size of the fleet. A
/// router that owns 11 engines never needs more; in a small fleet it reports the most loaded ones.
struct EngineDigest
{
    struct Entry
    {
        std::uint32_t engine = 0; ///< Low 32 bits of the hash of the engine's name.
        double load = 0; ///< Rounded to 16 steps per doubling.
        bool reachable = true;
    };

    static constexpr std::size_t MaxEntries = 16;

    double meanLoad = 0;
    std::vector<Entry> entries; ///< Unreachable ones first, then the highest loads.

    /// \returns the digest of those of \a engines for which \a tracker has a hint.
    /// \param factor an engine is listed if its load exceeds this multiple of the mean.
    static EngineDigest of(const EngineTracker &tracker, std::span<const std::string> engines,
                           double factor);

    /// \returns URL-safe text of at most 134 characters.
    std::string encode() const;

    /// \returns nothing if \a text is not a valid digest.
    static std::optional<EngineDigest> decode(std::string_view text);
};

/// \brief The digests received from other routers, and their ages.
class PeerEngineDigests
{
public:
    /// \param maxAge digests older than this are dropped; an engine that is not listed is assumed
    /// to be in normal state.
    explicit PeerEngineDigests(const Clock &clock, Duration maxAge = std::chrono::seconds(15));

    /// \brief Replaces the digest of router \a from.
    void update(std::string_view from, const EngineDigest &digest);

    /// \returns the most recent hint for \a engine; nothing if no digest lists it.
    std::optional<EngineHint> hint(std::string_view engine) const;

    /// \returns the number of routers whose digest is stored.
    std::size_t size() const { return m_byRouter.size(); }

private:
    struct ReceivedDigest
    {
        EngineDigest digest;
        TimePoint at;
    };

    void removeOld();

    const Clock &m_clock;
    Duration m_maxAge;
    std::unordered_map<std::string, ReceivedDigest> m_byRouter;
};

} // namespace catkinloft
