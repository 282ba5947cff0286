#pragma once

#include "Standin.h"

#include <cstdint>
#include <set>
#include <string>

namespace catkinloft::standin {

/// \brief What an engine has been ordered to run. It may or may not refuse an order whose fencing
/// number is older than one it has seen.
class EngineOrders
{
public:
    /// \param checksFencing whether old fencing numbers are refused.
    EngineOrders(bool checksFencing, const std::string &model);

    /// \brief Answers an order.
    void order(const HttpExchangePtr &exchange);

    /// \returns what the engine runs now.
    Json::Value state() const;

    /// \returns every order in its sequence of arrival and whether it was applied.
    const Json::Value &history() const { return m_history; }

private:
    bool apply(const std::string &name, const Json::Value &args);

    bool m_checksFencing;
    Json::Value m_state;
    std::uint64_t m_fence = 0;
    std::set<std::string> m_applied; ///< Ids of orders; a repeated one has no second effect.
    Json::Value m_history{Json::arrayValue};
};

} // namespace catkinloft::standin
