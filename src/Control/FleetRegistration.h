#pragma once

#include "Base/Random.h"
#include "Base/Settings.h"
#include "Base/TableService.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief How routers find each other: a row a router, and the key that signs what they tell each
/// other, in the table service. Reading it again is the only way to learn of a router that nobody
/// has heard.
class FleetRegistration
{
public:
    struct Options
    {
        TableService &table;
        RandomSource random;
        std::string name; ///< Of this router.
        std::string peerAddress; ///< `ip:port` for other routers.
        std::function<void(const SharedKey &)> onKey; ///< The key is known.
        std::function<void(const std::vector<std::string> &)> onAddresses; ///< Peer addresses.
    };

    explicit FleetRegistration(Options options) : m_options(std::move(options)) { }

    /// \brief Does what is still missing: key, own row, list. Call again until isComplete(), and
    /// then now and then.
    void refresh();

    /// \returns whether key, own row and list were had at least once.
    bool isComplete() const { return m_hasKey && m_registered && m_listed; }

    /// \brief Removes the own row. Failing is harmless: a row whose router is silent is not used.
    void leave();

    /// \brief Removes the row of a router that was replaced; its address names nobody.
    void forget(const std::string &peerAddress);

private:
    void readKey();
    void createKey();
    void takeKey(const std::string &secret);
    void writeOwnRow();
    void list();

    Options m_options;
    bool m_busy = false;
    bool m_hasKey = false;
    bool m_registered = false;
    bool m_listed = false;
    std::map<std::string, std::string> m_rowOf; ///< Row key by peer address.
};

} // namespace catkinloft
