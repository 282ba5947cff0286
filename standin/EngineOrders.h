#pragma once

#include "Standin.h"

#include <cstdint>
#include <set>
#include <string>

namespace catkinloft::standin {

/// \brief Applies orders to an engine and holds the resulting state: model, version, adapters and
/// role. Optionally refuses orders whose fencing number is lower than the highest one applied.
class EngineOrders
{
public:
    /// \param checksFencing whether orders with an outdated fencing number are refused.
    EngineOrders(bool checksFencing, const std::string &model);

    /// \brief Applies the order in the body of \a exchange and answers it.
    void order(const HttpExchangePtr &exchange);

    /// \returns what the engine runs now, and the highest fencing number applied.
    Json::Value state() const;

    /// \returns all orders in order of arrival, each with whether it was applied.
    const Json::Value &history() const { return m_history; }

private:
    bool apply(const std::string &name, const Json::Value &args);

    bool m_checksFencing;
    Json::Value m_state;
    std::uint64_t m_fence = 0;
    std::set<std::string>
            m_applied; ///< Ids of applied orders; a repeated order has no second effect.
    Json::Value m_history{Json::arrayValue};
};

} // namespace catkinloft::standin
