#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace catkinloft {

/// \brief A position in the history of the platform's store.
///
/// The store may be restored from a copy that is some seconds old. It then loses what it
/// acknowledged since, assigns the lost versions again and starts a new era. Versions of different
/// eras cannot be compared, so positions are ordered by era first.
struct StorePosition
{
    std::uint64_t era = 0; ///< Increases with each restore; 0: not reported.
    std::uint64_t version = 0; ///< Increases with every change within an era; 0: not read yet.

    /// \returns whether the store was restored between \a before and this position. A store that
    /// has begun to report its era may have been restored as well.
    bool isRestoredSince(const StorePosition &before) const
    {
        return before.version != 0 && era > before.era;
    }

    friend bool operator==(const StorePosition &, const StorePosition &) = default;
    friend auto operator<=>(const StorePosition &a, const StorePosition &b)
    {
        return std::tie(a.era, a.version) <=> std::tie(b.era, b.version);
    }
};

} // namespace catkinloft
