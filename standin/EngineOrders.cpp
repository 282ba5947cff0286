#include "EngineOrders.h"

#include <algorithm>

namespace catkinloft::standin {

EngineOrders::EngineOrders(bool checksFencing, const std::string &model)
    : m_checksFencing(checksFencing)
{
    m_state["model"] = model;
    m_state["version"] = "";
    m_state["adapters"] = Json::Value(Json::arrayValue);
    m_state["role"] = "serve";
}

Json::Value EngineOrders::state() const
{
    Json::Value out = m_state;
    out["fence"] = static_cast<Json::UInt64>(m_fence);
    return out;
}

void EngineOrders::order(const HttpExchangePtr &exchange)
{
    const Json::Value order = bodyObject(*exchange);
    const std::uint64_t fence = order["fence"].isUInt64() ? order["fence"].asUInt64() : 0;
    const std::string id = order["order_id"].isString() ? order["order_id"].asString() : "";
    Json::Value record = order;
    record["applied"] = false;
    Json::Value answer;
    int status = 200;
    if (m_checksFencing && fence < m_fence) {
        status = 409;
        answer["fence"] = static_cast<Json::UInt64>(m_fence);
    } else if (!id.empty() && m_applied.contains(id)) {
        answer["applied"] = true;
    } else if (apply(order["order"].isString() ? order["order"].asString() : "", order["args"])) {
        m_fence = std::max(m_fence, fence);
        m_applied.insert(id);
        record["applied"] = true;
        answer["applied"] = true;
    } else {
        status = 400;
        answer["error"] = "unknown order or wrong arguments";
    }
    m_history.append(record);
    respondJson(*exchange, status, answer);
}

bool EngineOrders::apply(const std::string &name, const Json::Value &args)
{
    if (!args.isObject())
        return false;
    if (name == "load_adapter" && args["adapter"].isString()) {
        const Json::Value &adapters = m_state["adapters"];
        if (std::find(adapters.begin(), adapters.end(), args["adapter"]) == adapters.end())
            m_state["adapters"].append(args["adapter"]);
        return true;
    }
    const std::string field = name == "load_model" ? "model"
            : name == "set_version"                ? "version"
            : name == "set_role"                   ? "role"
                                                   : "";
    if (field.empty() || !args[field].isString())
        return false;
    m_state[field] = args[field];
    return true;
}

} // namespace catkinloft::standin
