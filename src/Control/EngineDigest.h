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

/// \brief What a router tells the others of the engines that it owns: their mean load, and only
/// those engines that stand out.
///
/// Load: 10,000 engines of which every router would have to know every load, 60 KB a round, where a
/// node may send 3 KB/s.
/// Harm prevented: chats that go to a hot or dead engine's router just to be sent on by it.
/// Reason for the limit: 16 entries of 6 bytes and a head of 4 are 134 characters, whatever the
/// size of the fleet; a router of 11 engines never needs more, one of a small fleet names its
/// hottest.
struct EngineDigest
{
    struct Entry
    {
        std::uint32_t engine = 0; ///< Low half of the name's hash.
        double load = 0; ///< Rounded to 1/16 of itself.
        bool reachable = true;
    };

    static constexpr std::size_t MaxEntries = 16;

    double meanLoad = 0;
    std::vector<Entry> entries; ///< Unreachable ones first, then the highest loads.

    /// \returns the digest of \a engines, of those that have a hint.
    /// \param factor an engine stands out whose load exceeds this multiple of the mean.
    static EngineDigest of(const EngineTracker &tracker, std::span<const std::string> engines,
                           double factor);

    /// \returns URL-safe text of at most 134 characters.
    std::string encode() const;

    /// \returns nothing where \a text is no digest.
    static std::optional<EngineDigest> decode(std::string_view text);
};

/// \brief What the digests of other routers say, with its age.
class PeerEngineDigests
{
public:
    /// \param maxAge entries older than this are forgotten: no news is good news.
    explicit PeerEngineDigests(const Clock &clock, Duration maxAge = std::chrono::seconds(15));

    /// \brief Takes over what router \a from says now; its earlier digest is gone.
    void update(std::string_view from, const EngineDigest &digest);

    /// \returns what is said of \a engine, nothing where it does not stand out.
    std::optional<EngineHint> hint(std::string_view engine) const;

    /// \returns routers that it holds a digest of.
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
