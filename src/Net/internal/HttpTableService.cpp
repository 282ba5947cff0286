#include "Base/Json.h"
#include "Net/HttpClient.h"
#include "Net/PlatformAdapters.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

Error storeError(int status, Verdict verdict)
{
    return {.reason = Reason::StoreUnavailable,
            .verdict = verdict,
            .detail = fmt::format("the table service answered {}", status)};
}

std::vector<TableRow> rowsOf(const Json::Value &list)
{
    std::vector<TableRow> out;
    for (const Json::Value &it : list) {
        out.push_back({.key = it["key"].asString(),
                       .value = it["value"].asString(),
                       .version = it["version"].asUInt64()});
    }
    return out;
}

Json::Value toJson(const TableTransaction &transaction)
{
    Json::Value root(Json::objectValue);
    root["expects"] = Json::Value(Json::arrayValue);
    root["writes"] = Json::Value(Json::arrayValue);
    for (const TableTransaction::Expect &it : transaction.expects) {
        Json::Value entry;
        entry["key"] = it.key;
        entry["version"] = static_cast<Json::UInt64>(it.version);
        root["expects"].append(entry);
    }
    for (const TableTransaction::Write &it : transaction.writes) {
        Json::Value entry;
        entry["key"] = it.key;
        entry["value"] = it.value ? Json::Value(*it.value) : Json::Value();
        root["writes"].append(entry);
    }
    return root;
}

class HttpTableService final : public TableService
{
public:
    HttpTableService(HttpClient &client, const PlatformSettings &settings)
        : m_client(client), m_settings(settings)
    { }

    void read(std::vector<std::string> keys, Callback<std::vector<TableRow>> done) override
    {
        Json::Value root;
        root["keys"] = Json::Value(Json::arrayValue);
        for (const std::string &it : keys)
            root["keys"].append(it);
        post("/v1/read", root, rowsReceiver(std::move(done)));
    }

    void scan(std::string prefix, std::size_t limit, Callback<std::vector<TableRow>> done) override
    {
        Json::Value root;
        root["prefix"] = prefix;
        root["limit"] = static_cast<Json::UInt64>(limit);
        post("/v1/scan", root, rowsReceiver(std::move(done)));
    }

    void commit(TableTransaction transaction, Callback<TableCommit> done) override
    {
        post("/v1/commit", toJson(transaction), [done](Result<HttpAnswer> answer) {
            if (!answer) {
                done(answer.error());
                return;
            }
            // A refusal of the service (4xx, 503) guarantees that nothing took effect.
            if (answer.value().head.status != 200) {
                done(storeError(answer.value().head.status, Verdict::NotRun));
                return;
            }
            const Result<Json::Value> root = parseJsonObject(answer.value().body);
            if (!root) {
                done(root.error());
                return;
            }
            done(readJson<TableCommit>(root.value(), Reason::StoreUnavailable,
                                       [](const Json::Value &it) {
                                           return TableCommit{.committed = it["committed"].asBool(),
                                                              .current = rowsOf(it["current"])};
                                       }));
        });
    }

private:
    using Receiver = std::function<void(Result<HttpAnswer>)>;

    static Receiver rowsReceiver(Callback<std::vector<TableRow>> done)
    {
        return [done = std::move(done)](Result<HttpAnswer> answer) {
            if (!answer) {
                done(answer.error());
                return;
            }
            if (answer.value().head.status != 200) {
                done(storeError(answer.value().head.status, Verdict::NotRun));
                return;
            }
            const Result<Json::Value> root = parseJsonObject(answer.value().body);
            if (root)
                done(readJson<std::vector<TableRow>>(
                        root.value(), Reason::StoreUnavailable,
                        [](const Json::Value &it) { return rowsOf(it["rows"]); }));
            else
                done(root.error());
        };
    }

    void post(std::string target, const Json::Value &root, Receiver done)
    {
        m_client.fetch({.address = m_settings.tableService,
                        .method = "POST",
                        .target = std::move(target),
                        .headers = {{"Content-Type", "application/json"}},
                        .body = printJson(root),
                        .timeout = m_settings.timeout},
                       [done = std::move(done)](Result<HttpAnswer> answer) {
                           if (!answer)
                               answer.error().reason = Reason::StoreUnavailable;
                           done(std::move(answer));
                       });
    }

    HttpClient &m_client;
    PlatformSettings m_settings;
};

} // namespace

std::unique_ptr<TableService> makeHttpTableService(HttpClient &client,
                                                   const PlatformSettings &settings)
{
    return std::make_unique<HttpTableService>(client, settings);
}

} // namespace catkinloft
