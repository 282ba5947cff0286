#include "Control/ConfigKeeper.h"

#include "Base/Hash.h"
#include "Base/Log.h"

#include <memory>

#include <fmt/format.h>
#include <json/json.h>

namespace catkinloft {

namespace {

constexpr const char *HeadKey = "config/head";

struct Head
{
    std::uint64_t revision = 0;
    std::string object;
};

std::string encodeHead(const Head &head)
{
    return fmt::format(R"({{"revision":{},"object":"{}"}})", head.revision, head.object);
}

std::optional<Head> decodeHead(const std::string &text)
{
    Json::Value root;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(text.data(), text.data() + text.size(), &root, nullptr) || !root.isObject()
        || !root["revision"].isUInt64() || !root["object"].isString())
        return std::nullopt;
    return Head{.revision = root["revision"].asUInt64(), .object = root["object"].asString()};
}

std::string problemsText(const YamlProblems &problems)
{
    std::string out;
    for (const YamlProblem &it : problems)
        out += (out.empty() ? "" : "; ") + it.text();
    return out;
}

} // namespace

ConfigKeeper::ConfigKeeper(Options options) : m_options(options) { }

void ConfigKeeper::refresh()
{
    m_options.table.read({HeadKey}, [this](Result<std::vector<TableRow>> rows) {
        if (!rows || rows.value().empty())
            return;
        const TableRow &row = rows.value().front();
        const auto head = decodeHead(row.value);
        if (!head || head->revision < m_headRevision)
            return;
        m_headVersion = row.version;
        m_headRevision = head->revision;
        if (!m_current || head->revision > m_current->revision)
            fetchBody(head->revision, head->object);
    });
}

void ConfigKeeper::fetchBody(std::uint64_t revision, const std::string &object)
{
    m_options.objects.get(object, [this, revision](Result<std::optional<std::string>> body) {
        if (body && body.value())
            apply(revision, *body.value());
    });
}

void ConfigKeeper::apply(std::uint64_t revision, const std::string &text)
{
    if (m_current && revision <= m_current->revision)
        return;
    YamlProblems problems;
    InventoryPtr next = Inventory::parse(text, "inventory", revision, problems);
    if (!next) {
        Log::error("config_unreadable",
                   {{"revision", revision}, {"problems", problemsText(problems)}});
        return;
    }
    m_current = std::move(next);
    m_text = text;
    Log::info("config_applied", {{"revision", revision}});
    m_changed.emit(m_current);
}

void ConfigKeeper::propose(ConfigChange change, std::function<void(Result<std::uint64_t>)> done)
{
    YamlProblems problems;
    if (!Inventory::parse(change.text, "inventory", change.base + 1, problems)) {
        done(Error{.reason = Reason::ConfigInvalid, .detail = problemsText(problems)});
        return;
    }
    const std::string object =
            fmt::format("config/{}-{}", change.base + 1, sha256Hex(change.text).substr(0, 16));
    m_options.objects.put(object, change.text, [this, change, object, done](Result<void> stored) {
        if (stored)
            commitHead(change, object, done);
        else
            done(Error{.reason = Reason::StoreDown, .detail = stored.error().detail});
    });
}

void ConfigKeeper::commitHead(const ConfigChange &change, const std::string &object,
                              std::function<void(Result<std::uint64_t>)> done)
{
    if (change.base != m_headRevision) {
        done(Error{.reason = Reason::ConfigConflict,
                   .detail = fmt::format("made against revision {}, but {} is in force",
                                         change.base, m_headRevision)});
        return;
    }
    const std::uint64_t revision = change.base + 1;
    TableTransaction transaction;
    transaction.expects.push_back({.key = HeadKey, .version = m_headVersion});
    transaction.writes.push_back(
            {.key = HeadKey, .value = encodeHead({.revision = revision, .object = object})});
    m_options.table.commit(std::move(transaction),
                           [this, revision, text = change.text, done](Result<TableCommit> answer) {
                               if (!answer) {
                                   done(answer.error());
                               } else if (!answer.value().committed) {
                                   refresh();
                                   done(Error{.reason = Reason::ConfigConflict,
                                              .detail = "another change was accepted first"});
                               } else {
                                   m_headRevision = revision;
                                   refresh();
                                   apply(revision, text);
                                   done(revision);
                               }
                           });
}

} // namespace catkinloft
