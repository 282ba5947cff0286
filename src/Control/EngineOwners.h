#pragma once

#include "Decide/RouterView.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace catkinloft {

/// \brief Determines which router owns which engine: the first in the engine's rendezvous order
/// among the routers that are not leaving. There is no consensus about it. While the routers' lists
/// differ, an engine may have two owners that both read it and announce hints, which is safe.
///
/// Handles 10,000 engines and 890 routers, one of which joins or leaves every 30 s. Prevents the
/// computation of 8.9 million scores for each such change, which would block the event loop: only
/// the affected engines are scored again.
class EngineOwners
{
public:
    /// \param self the name of this router.
    explicit EngineOwners(std::string self);

    void setEngines(std::span<const std::string> engines);

    /// \returns whether the set of routers changed; lists are set far more often than they change.
    bool setRouters(std::span<const RouterView> routers);

    /// \returns the names of the engines that this router owns.
    const std::vector<std::string> &owned() const { return m_owned; }

    /// \returns whether this router is the first in the rendezvous order of \a key.
    bool isPrimaryFor(std::uint64_t key) const;

    /// \returns the number of scores computed so far, as a measure of the work done.
    std::uint64_t scoreCount() const { return m_scoreCount; }

private:
    struct Owner
    {
        std::uint64_t router = 0; ///< Hash of the router's name; 0: none.
        std::uint64_t score = 0;
    };
    struct Owned
    {
        std::string name;
        std::uint64_t id = 0;
        Owner owner;
    };

    Owner best(std::uint64_t id) const;
    Owner scoreOf(std::uint64_t id, std::uint64_t router) const;
    void collect();

    std::uint64_t m_self;
    std::vector<std::uint64_t> m_routers; ///< Hashes of the names, sorted.
    std::vector<Owned> m_engines;
    std::vector<std::string> m_owned;
    mutable std::uint64_t m_scoreCount = 0;
};

} // namespace catkinloft
