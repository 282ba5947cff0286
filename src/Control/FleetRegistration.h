#pragma once

#include "Base/Random.h"
#include "Base/Settings.h"
#include "Base/TableService.h"
#include "Control/RegisteredRouter.h"

#include <functional>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief How routers find each other: a row a router, and the key that signs what they tell each
/// other, in the table service. Reading it again is the only way to learn of a router that nobody
/// has heard.
///
/// Load: hundreds of routers that start at the same moment. Harm prevented: three calls from each
/// are a queue of seconds at the one part of the table that takes their rows. So one reading brings
/// the key, all rows and whether the own one still stands; after a restart nothing is written.
class FleetRegistration
{
public:
    struct Options
    {
        TableService &table;
        RandomSource random;
        RegisteredRouter self;
        std::function<void(const SharedKey &)> onKey; ///< The key is known.
        /// All other routers, this one being registered as well: of any two that start, the one
        /// that reads later finds the other.
        std::function<void(const std::vector<RegisteredRouter> &)> onRouters;
        /// Told how each refresh() has ended: whether all its calls were answered.
        std::function<void(bool answered)> onEnd = [](bool) {};
    };

    explicit FleetRegistration(Options options) : m_options(std::move(options)) { }

    /// \brief Reads all rows and writes what is missing: the key, the own row. Call again until
    /// isComplete(), and then now and then.
    void refresh();

    /// \returns whether key, own row and list were had at least once.
    bool isComplete() const { return m_complete; }

    /// \brief Removes the own row for good. Failing is harmless: a row whose router is silent is
    /// not used.
    void leave();

private:
    void fail(const char *what, const Error &error);
    void takeRows(const std::vector<TableRow> &rows);
    void createKey();
    void takeKey(const std::string &secret);
    void writeOwnRow();
    std::string ownKey() const;

    Options m_options;
    bool m_busy = false;
    bool m_hasKey = false;
    bool m_complete = false;
    bool m_left = false;
};

} // namespace catkinloft
