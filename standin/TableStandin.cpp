#include "TableStandin.h"

namespace catkinloft::standin {

bool TableStandin::isWrite(const HttpExchange &exchange) const
{
    return exchange.path() == "/v1/commit";
}

PlatformStandin::Answer TableStandin::answer(const HttpExchange &exchange)
{
    const Json::Value request = bodyObject(exchange);
    if (exchange.path() == "/v1/read")
        return jsonAnswer(200, read(request));
    if (exchange.path() == "/v1/scan")
        return jsonAnswer(200, scan(request));
    if (exchange.path() == "/v1/commit")
        return jsonAnswer(200, commit(request));
    return jsonAnswer(404, Json::Value(Json::objectValue));
}

Json::Value TableStandin::rowJson(const std::string &key) const
{
    const auto it = m_rows.find(key);
    Json::Value row;
    row["key"] = key;
    row["value"] = it == m_rows.end() ? "" : it->second.value;
    row["version"] = static_cast<Json::UInt64>(it == m_rows.end() ? 0 : it->second.version);
    return row;
}

Json::Value TableStandin::read(const Json::Value &request) const
{
    Json::Value out;
    out["rows"] = Json::Value(Json::arrayValue);
    for (const Json::Value &it : request["keys"])
        out["rows"].append(rowJson(it.asString()));
    return out;
}

Json::Value TableStandin::scan(const Json::Value &request) const
{
    const std::string prefix = request["prefix"].asString();
    Json::Value out;
    out["rows"] = Json::Value(Json::arrayValue);
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end(); ++it) {
        if (!it->first.starts_with(prefix) || out["rows"].size() >= request["limit"].asUInt())
            break;
        out["rows"].append(rowJson(it->first));
    }
    return out;
}

Json::Value TableStandin::commit(const Json::Value &request)
{
    Json::Value out;
    bool matches = true;
    for (const Json::Value &it : request["expects"]) {
        const auto row = m_rows.find(it["key"].asString());
        const std::uint64_t version = row == m_rows.end() ? 0 : row->second.version;
        matches = matches && version == it["version"].asUInt64();
    }
    for (const Json::Value &it : matches ? request["writes"] : Json::Value()) {
        if (it["value"].isNull())
            m_rows.erase(it["key"].asString());
        else
            m_rows[it["key"].asString()] = {it["value"].asString(), m_nextVersion++};
    }
    out["committed"] = matches;
    out["current"] = Json::Value(Json::arrayValue);
    for (const Json::Value &it : request["expects"])
        out["current"].append(rowJson(it["key"].asString()));
    return out;
}

} // namespace catkinloft::standin
