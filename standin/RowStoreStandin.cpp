#include "RowStoreStandin.h"

#include "Base/Hash.h"

#include <algorithm>
#include <set>

namespace catkinloft::standin {

namespace {

using namespace std::chrono_literals;

/// Maximum number of rows in an answer, even if the caller asks for more.
constexpr std::uint64_t MaxRowsReturned = 500;

constexpr Duration FeedPollInterval = 10ms;

/// Tables that only the operator and the replicas may write.
const std::set<std::string> &protectedTables()
{
    static const std::set<std::string> all = {"op", "servers"};
    return all;
}

std::string base64(const std::string &text)
{
    std::string out = base64UrlEncode(text);
    std::replace(out.begin(), out.end(), '-', '+');
    std::replace(out.begin(), out.end(), '_', '/');
    out.append((4 - out.size() % 4) % 4, '=');
    return out;
}

} // namespace

RowStoreStandin::RowStoreStandin(Options options)
    : PlatformStandin(options), m_timer(options.loop, [this] { answerWaitingFeeds(); })
{
    m_timer.startRepeating(FeedPollInterval);
}

bool RowStoreStandin::isWrite(const HttpExchange &exchange) const
{
    return exchange.method() == "POST";
}

bool RowStoreStandin::isExempt(const HttpExchange &exchange) const
{
    return exchange.path() == "/v1/operator"; // Operators can still write in most outages.
}

bool RowStoreStandin::defer(const HttpExchangePtr &exchange)
{
    if (exchange->path() != "/v1/rows-feed")
        return false;
    const std::string table = exchange->queryValue("table");
    const std::uint64_t after = exchange->queryNumber("after");
    const Duration wait = std::chrono::milliseconds(exchange->queryNumber("wait-ms"));
    if (wait == Duration::zero() || feed(table, after, false))
        return false;
    m_waiting.push_back({exchange, table, after, loop().now() + wait});
    return true;
}

void RowStoreStandin::answerWaitingFeeds()
{
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const bool expired = loop().now() >= it->until;
        if (const auto answer = feed(it->table, it->after, expired)) {
            deliver(it->exchange, withEra(*answer));
            it = m_waiting.erase(it);
        } else {
            ++it;
        }
    }
}

PlatformStandin::Answer RowStoreStandin::answer(const HttpExchange &exchange)
{
    return withEra(answerCall(exchange));
}

PlatformStandin::Answer RowStoreStandin::withEra(Answer answer) const
{
    answer.headers.emplace_back("Store-Era", std::to_string(m_era));
    return answer;
}

PlatformStandin::Answer RowStoreStandin::answerCall(const HttpExchange &exchange)
{
    if (exchange.path() == "/v1/rows-get")
        return get(exchange);
    if (exchange.path() == "/v1/rows-feed")
        return *feed(exchange.queryValue("table"), exchange.queryNumber("after"), true);
    if (exchange.path() == "/v1/rows-tx")
        return commit(exchange);
    if (exchange.path() == "/v1/operator")
        return writeAsOperator(exchange);
    return {.status = 404};
}

Json::Value RowStoreStandin::rowJson(const std::string &table, const std::string &key) const
{
    Json::Value out(Json::objectValue);
    out["table"] = table;
    out["part"] = "";
    out["key"] = key;
    const auto rows = m_content.tables.find(table);
    const auto row = rows == m_content.tables.end() ? decltype(rows->second.end())()
                                                    : rows->second.find(key);
    if (rows == m_content.tables.end() || row == rows->second.end()) {
        out["removed"] = true;
        out["ver"] = 0;
    } else {
        out["value"] = row->second.value;
        out["ver"] = static_cast<Json::UInt64>(row->second.version);
    }
    return out;
}

PlatformStandin::Answer RowStoreStandin::get(const HttpExchange &exchange) const
{
    const std::string table = exchange.queryValue("table");
    const std::string from = exchange.queryValue("from");
    const std::string to = exchange.queryValue("to");
    const std::uint64_t limit =
            std::clamp<std::uint64_t>(exchange.queryNumber("limit"), 1, MaxRowsReturned);
    Json::Value root(Json::objectValue);
    root["rows"] = Json::Value(Json::arrayValue);
    root["truncated"] = false;
    root["ver"] = static_cast<Json::UInt64>(m_content.version);
    const auto rows = m_content.tables.find(table);
    if (rows == m_content.tables.end())
        return jsonAnswer(200, root);
    for (const auto &[key, row] : rows->second) {
        if (key < from || (!to.empty() && key >= to))
            continue;
        if (root["rows"].size() == limit) {
            root["truncated"] = true;
            break;
        }
        root["rows"].append(rowJson(table, key));
    }
    return jsonAnswer(200, root);
}

std::optional<PlatformStandin::Answer>
RowStoreStandin::feed(const std::string &table, std::uint64_t after, bool answerEmpty) const
{
    if (after < m_content.oldestVersion || after > m_content.version)
        return Answer{.status = 410};
    Json::Value root(Json::objectValue);
    root["rows"] = Json::Value(Json::arrayValue);
    root["ver"] = static_cast<Json::UInt64>(m_content.version);
    std::set<std::string> changed;
    for (const Change &it : m_content.history) {
        if (it.table == table && it.version > after)
            changed.insert(it.key);
    }
    if (changed.empty() && !answerEmpty)
        return std::nullopt;
    for (const std::string &it : changed)
        root["rows"].append(rowJson(table, it));
    return jsonAnswer(200, root);
}

PlatformStandin::Answer RowStoreStandin::commit(const HttpExchange &exchange)
{
    const Json::Value request = bodyObject(exchange);
    Json::Value conflict(Json::objectValue);
    conflict["rows"] = Json::Value(Json::arrayValue);
    bool matches = true;
    for (const Json::Value &it : request["expected-revision"]) {
        const Json::Value row = rowJson(it["table"].asString(), it["key"].asString());
        matches = matches && row["ver"].asUInt64() == it["ver"].asUInt64();
        if (row["ver"].asUInt64() != 0)
            conflict["rows"].append(row);
    }
    if (!matches)
        return jsonAnswer(412, conflict);
    for (const char *list : {"set-keys", "remove"}) {
        for (const Json::Value &it : request[list]) {
            if (protectedTables().contains(it["table"].asString()))
                return {.status = 403};
        }
    }
    ++m_content.version;
    for (const Json::Value &it : request["set-keys"])
        set(it["table"].asString(), it["key"].asString(), it["value"].asString());
    for (const Json::Value &it : request["remove"])
        set(it["table"].asString(), it["key"].asString(), std::nullopt);
    Json::Value out(Json::objectValue);
    out["ver"] = static_cast<Json::UInt64>(m_content.version);
    return jsonAnswer(200, out);
}

PlatformStandin::Answer RowStoreStandin::writeAsOperator(const HttpExchange &exchange)
{
    const Json::Value request = bodyObject(exchange);
    if (request["forget_history"].isBool()) {
        m_content.oldestVersion = m_content.version + 1;
        ++m_content.version;
        return {.status = 204};
    }
    if (request["take_copy"].isBool()) {
        m_copy = m_content;
        return {.status = 204};
    }
    if (request["restore_copy"].isBool()) {
        restoreCopy();
        return {.status = 204};
    }
    ++m_content.version;
    const Json::Value &value = request["value"];
    set(request["table"].asString(), request["key"].asString(),
        value.isNull() ? std::nullopt : std::optional(base64(value.asString())));
    Json::Value out(Json::objectValue);
    out["ver"] = static_cast<Json::UInt64>(m_content.version);
    return jsonAnswer(200, out);
}

void RowStoreStandin::restoreCopy()
{
    m_content = m_copy;
    ++m_era;
    for (const Waiting &it : m_waiting)
        it.exchange->abort();
    m_waiting.clear();
}

void RowStoreStandin::set(const std::string &table, const std::string &key,
                          std::optional<std::string> value)
{
    if (value)
        m_content.tables[table][key] = {.value = std::move(*value), .version = m_content.version};
    else
        m_content.tables[table].erase(key);
    m_content.history.push_back({table, key, m_content.version});
}

} // namespace catkinloft::standin
