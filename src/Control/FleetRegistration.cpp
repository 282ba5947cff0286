#include "Control/FleetRegistration.h"

#include "Base/Hash.h"
#include "Base/Json.h"
#include "Base/Log.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace catkinloft {

namespace {

constexpr std::string_view Rows = "fleet/";
constexpr std::string_view KeyRow = "fleet/key";
constexpr std::string_view RouterRows = "fleet/router/";
constexpr std::string_view SoftwareRows = "fleet/software/";
constexpr std::string_view QuarantineRows = "fleet/quarantine/";
constexpr const char *KeyId = "1";

/// Maximum number of rows read; several times the largest planned fleet.
constexpr std::size_t MaxRows = 5000;

/// Words of 8 bytes in a new key: 64 bytes is the longest key that HMAC-SHA-256 uses without
/// hashing it first.
constexpr int KeyWords = 8;

/// Latest time in a row, in milliseconds since 1970, for which no age overflows.
constexpr std::int64_t MaxTimeMs = std::int64_t(1) << 42;

std::string softwareKey(const SoftwareHistory::Row &row)
{
    return std::string(SoftwareRows) + row.software;
}

std::string encodeSoftware(const SoftwareHistory::Row &row)
{
    Json::Value out(Json::objectValue);
    out["service"] = row.service;
    if (row.goneAt)
        out["gone_ms"] = static_cast<Json::Int64>(row.goneAt->time_since_epoch()
                                                  / std::chrono::milliseconds(1));
    return printJson(out);
}

std::optional<SoftwareHistory::Row> decodeSoftware(const TableRow &row)
{
    const Result<Json::Value> value = parseJsonObject(row.value);
    if (!value || !value.value()["service"].isString())
        return std::nullopt;
    SoftwareHistory::Row out{.service = value.value()["service"].asString(),
                             .software = row.key.substr(SoftwareRows.size())};
    if (const Json::Value &ms = value.value()["gone_ms"];
        ms.isInt64() && ms.asInt64() >= 0 && ms.asInt64() <= MaxTimeMs)
        out.goneAt = WallTime(std::chrono::milliseconds(ms.asInt64()));
    return out;
}

void logFailure(const char *what, const Error &error)
{
    Log::warning("registration_failed", {{"step", what}, {"detail", error.detail}});
}

} // namespace

std::string FleetRegistration::ownKey() const
{
    return std::string(RouterRows) + m_options.self.name;
}

void FleetRegistration::refresh()
{
    if (m_busy || m_left)
        return;
    m_busy = true;
    m_options.table.scan(std::string(Rows), MaxRows,
                         [this](const Result<std::vector<TableRow>> &rows) {
                             m_busy = false;
                             if (!rows)
                                 return fail("read", rows.error());
                             takeRows(rows.value());
                         });
}

void FleetRegistration::takeRows(const std::vector<TableRow> &rows)
{
    std::vector<RegisteredRouter> others;
    std::vector<SoftwareHistory::Row> software;
    std::vector<QuarantineRow> quarantine;
    std::string key;
    bool isRegistered = false;
    for (const TableRow &it : rows) {
        if (it.key == KeyRow)
            key = it.value;
        if (it.key.starts_with(SoftwareRows)) {
            if (const auto row = decodeSoftware(it))
                software.push_back(*row);
            else
                Log::warning("software_row_malformed", {{"row", it.key}});
        }
        if (it.key.starts_with(QuarantineRows)) {
            if (const auto row =
                        QuarantineRow::decode(it.key.substr(QuarantineRows.size()), it.value))
                quarantine.push_back(*row);
            else
                Log::warning("quarantine_row_malformed", {{"row", it.key}});
        }
        if (!it.key.starts_with(RouterRows))
            continue;
        const auto router = RegisteredRouter::decode(it.key.substr(RouterRows.size()), it.value);
        if (!router)
            Log::warning("router_row_malformed", {{"row", it.key}});
        else if (router.value() == m_options.self)
            isRegistered = true;
        else if (router.value().name != m_options.self.name)
            others.push_back(router.value());
    }
    takeQuarantine(std::move(quarantine));
    m_software = software;
    m_options.onSoftware(software, key.empty() && m_key.empty());
    if (key.empty())
        return createKey();
    if (key != m_key)
        takeKey(key);
    if (!isRegistered)
        return writeOwnRow();
    m_complete = true;
    m_options.onRouters(others);
    m_options.onEnd(true);
}

void FleetRegistration::takeQuarantine(std::vector<QuarantineRow> rows)
{
    m_quarantine = std::move(rows);
    if (!std::exchange(m_hasReadQuarantine, true))
        m_options.onQuarantine(m_quarantine);
}

void FleetRegistration::fail(const char *what, const Error &error)
{
    logFailure(what, error);
    m_options.onEnd(false);
}

std::string FleetRegistration::newKey()
{
    std::string secret;
    for (int i = 0; i < KeyWords; ++i) {
        const std::uint64_t word = m_options.random();
        secret.append(reinterpret_cast<const char *>(&word), sizeof word);
    }
    return base64UrlEncode(secret);
}

void FleetRegistration::createKey()
{
    m_busy = true;
    const std::string row(KeyRow);
    // If the store lost the key that the routers use, the same one is stored again.
    m_options.table.commit({.expects = {{.key = row, .version = 0}},
                            .writes = {{.key = row, .value = m_key.empty() ? newKey() : m_key}}},
                           [this](const Result<TableCommit> &commit) {
                               m_busy = false;
                               if (!commit)
                                   return fail("create key", commit.error());
                               // If another router was first, this reads its key.
                               refresh();
                           });
}

void FleetRegistration::takeKey(const std::string &secret)
{
    m_key = secret;
    m_options.onKey({.id = KeyId, .secret = secret});
}

void FleetRegistration::writeOwnRow()
{
    if (m_left)
        return m_options.onEnd(true);
    m_busy = true;
    m_options.table.commit(
            {.expects = {}, .writes = {{.key = ownKey(), .value = m_options.self.encode()}}},
            [this](const Result<TableCommit> &commit) {
                m_busy = false;
                if (!commit)
                    return fail("register", commit.error());
                refresh();
            });
}

void FleetRegistration::writeSoftware(const std::vector<SoftwareHistory::Row> &rows)
{
    using Row = SoftwareHistory::Row;
    const auto contains = [](const std::vector<Row> &list, const Row &row, bool sameState) {
        return std::any_of(list.begin(), list.end(), [&](const Row &it) {
            return it.software == row.software
                    && (!sameState || it.goneAt.has_value() == row.goneAt.has_value());
        });
    };
    TableTransaction transaction;
    for (const Row &it : rows) {
        if (!contains(m_software, it, true))
            transaction.writes.push_back({.key = softwareKey(it), .value = encodeSoftware(it)});
    }
    for (const Row &it : m_software) {
        if (!contains(rows, it, false))
            transaction.writes.push_back({.key = softwareKey(it), .value = std::nullopt});
    }
    if (transaction.writes.empty() || m_left)
        return;
    m_software = rows;
    m_options.table.commit(transaction, [](const Result<TableCommit> &commit) {
        if (!commit)
            logFailure("write software", commit.error());
    });
}

void FleetRegistration::writeQuarantine(const std::vector<QuarantineRow> &rows)
{
    TableTransaction transaction;
    const auto keyOf = [](const QuarantineRow &it) {
        return std::string(QuarantineRows) + it.fingerprint;
    };
    for (const QuarantineRow &it : rows) {
        if (std::none_of(m_quarantine.begin(), m_quarantine.end(),
                         [&](const QuarantineRow &old) { return old.hasSameEvidence(it); }))
            transaction.writes.push_back({.key = keyOf(it), .value = it.encode()});
    }
    for (const QuarantineRow &old : m_quarantine) {
        if (std::none_of(rows.begin(), rows.end(), [&](const QuarantineRow &it) {
                return it.fingerprint == old.fingerprint;
            }))
            transaction.writes.push_back({.key = keyOf(old), .value = std::nullopt});
    }
    if (transaction.writes.empty() || m_left || !m_hasReadQuarantine)
        return;
    m_quarantine = rows;
    m_options.table.commit(transaction, [](const Result<TableCommit> &commit) {
        if (!commit)
            logFailure("write quarantine", commit.error());
    });
}

void FleetRegistration::leave()
{
    m_left = true;
    m_options.table.commit({.expects = {}, .writes = {{.key = ownKey(), .value = std::nullopt}}},
                           [](const Result<TableCommit> &commit) {
                               if (!commit)
                                   logFailure("leave", commit.error());
                           });
}

} // namespace catkinloft
