#pragma once

#include "Base/Random.h"
#include "Base/Settings.h"
#include "Base/TableService.h"
#include "Control/QuarantineRow.h"
#include "Control/RegisteredRouter.h"
#include "Decide/SoftwareHistory.h"

#include <functional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Service discovery of the routers: the table service holds a row for each router and the
/// key that signs the messages between them. Reading the rows again is the only way to find a
/// router from which no router has received a heartbeat.
///
/// Handles hundreds of routers that start at the same time. Three calls from each would queue for
/// seconds at the one partition of the table that holds their rows. Therefore one read returns the
/// key, all rows and whether the row of this router exists; after a restart nothing is written.
class FleetRegistration
{
public:
    struct Options
    {
        TableService &table;
        RandomSource random;
        RegisteredRouter self;
        /// Called when the key is known, and when another one was stored.
        std::function<void(const SharedKey &)> onKey;
        /// Called with all other routers once this one is registered as well. Of any two routers
        /// that start, the one that reads later finds the other.
        std::function<void(const std::vector<RegisteredRouter> &)> onRouters;
        /// Called with the rows on software at each read, and whether the store had no key of the
        /// fleet yet, so that no router has ever run.
        std::function<void(const std::vector<SoftwareHistory::Row> &, bool isFirstStart)>
                onSoftware = [](const std::vector<SoftwareHistory::Row> &, bool) {};
        /// Called with the requests that are held back, at the first read only: later on the other
        /// routers are more up to date.
        std::function<void(const std::vector<QuarantineRow> &)> onQuarantine =
                [](const std::vector<QuarantineRow> &) {};
        /// Called at the end of each refresh() with whether all its calls were answered.
        std::function<void(bool answered)> onEnd = [](bool) {};
    };

    explicit FleetRegistration(Options options) : m_options(std::move(options)) { }

    /// \brief Reads all rows and writes the key and the row of this router if they are missing.
    /// Must be called until isComplete(), and periodically afterwards.
    void refresh();

    /// \brief Replaces the rows on software by \a rows, except where only the time of removal
    /// differs.
    void writeSoftware(const std::vector<SoftwareHistory::Row> &rows);

    /// \brief Replaces the rows on requests that are held back by \a rows, except where only the
    /// times of the crashes differ.
    void writeQuarantine(const std::vector<QuarantineRow> &rows);

    /// \returns whether the key and the list of routers were read at least once while this router
    /// was registered.
    bool isComplete() const { return m_complete; }

    /// \brief Removes the row of this router for good. A failure is harmless, as the row of a
    /// router that sends no heartbeats is not used.
    void leave();

private:
    void fail(const char *what, const Error &error);
    void takeQuarantine(std::vector<QuarantineRow> rows);
    void takeRows(const std::vector<TableRow> &rows);
    std::string newKey();
    void createKey();
    void takeKey(const std::string &secret);
    void writeOwnRow();
    std::string ownKey() const;

    Options m_options;
    bool m_busy = false;
    std::string m_key; ///< Last key read; empty: none yet.
    bool m_complete = false;
    bool m_left = false;
    std::vector<SoftwareHistory::Row> m_software; ///< Rows in the store when last read or written.
    std::vector<QuarantineRow> m_quarantine; ///< The same for requests that are held back.
    bool m_hasReadQuarantine = false;
};

} // namespace catkinloft
