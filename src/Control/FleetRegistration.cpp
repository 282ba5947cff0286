#include "Control/FleetRegistration.h"

#include "Base/Hash.h"
#include "Base/Log.h"

#include <string_view>

namespace catkinloft {

namespace {

constexpr std::string_view Rows = "fleet/";
constexpr std::string_view KeyRow = "fleet/key";
constexpr std::string_view RouterRows = "fleet/router/";
constexpr const char *KeyId = "1";

/// Maximum number of rows read; several times the largest planned fleet.
constexpr std::size_t MaxRows = 5000;

/// Words of 8 bytes in a new key: 64 bytes is the longest key that HMAC-SHA-256 uses without
/// hashing it first.
constexpr int KeyWords = 8;

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
    std::string key;
    bool isRegistered = false;
    for (const TableRow &it : rows) {
        if (it.key == KeyRow)
            key = it.value;
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
