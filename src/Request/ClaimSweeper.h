#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Base/TableService.h"

#include <functional>
#include <memory>

namespace catkinloft {

/// \brief Removes expired claims at a bounded rate. Each router scans random shards.
///
/// A row is only removed if its version is still the one that was read as expired, so a claim made
/// in between stays.
class ClaimSweeper
{
public:
    struct Options
    {
        TableService &table;
        const Clock &clock;
        RandomSource random;
        /// Number of routers that share the work.
        std::function<std::size_t()> routers = [] { return std::size_t(1); };
    };

    explicit ClaimSweeper(Options options);
    ~ClaimSweeper();

    void poll();
    TimePoint nextDeadline() const { return m_next; }

    /// \returns the number of rows removed so far.
    std::uint64_t removed() const { return m_removed; }

private:
    void sweep();
    void remove(const std::vector<TableRow> &rows);
    void schedule();

    Options m_options;
    TimePoint m_next;
    std::uint64_t m_removed = 0;
    /// False after destruction, checked by callbacks that may outlive this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft
