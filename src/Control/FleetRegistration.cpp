#include "Control/FleetRegistration.h"

#include "Base/Hash.h"
#include "Base/Log.h"

namespace catkinloft {

namespace {

constexpr const char *KeyRow = "fleet/key";
constexpr const char *RouterRows = "router/";
constexpr const char *KeyId = "1";

/// Routers listed at once; more than any fleet planned has.
constexpr std::size_t MaxRouters = 500;

/// Bytes of a new key: what HMAC-SHA-256 uses at most without hashing it first.
constexpr int KeyWords = 8;

void logFailure(const char *what, const Error &error)
{
    Log::warning("registration_failed", {{"step", what}, {"detail", error.detail}});
}

} // namespace

void FleetRegistration::refresh()
{
    if (m_busy)
        return;
    m_busy = true;
    if (!m_hasKey)
        readKey();
    else if (!m_registered)
        writeOwnRow();
    else
        list();
}

void FleetRegistration::readKey()
{
    m_options.table.read({KeyRow}, [this](const Result<std::vector<TableRow>> &rows) {
        m_busy = false;
        if (!rows)
            return logFailure("read key", rows.error());
        if (rows.value().empty() || rows.value().front().version == 0)
            return createKey();
        takeKey(rows.value().front().value);
    });
}

void FleetRegistration::createKey()
{
    m_busy = true;
    std::string secret;
    for (int i = 0; i < KeyWords; ++i) {
        const std::uint64_t word = m_options.random();
        secret.append(reinterpret_cast<const char *>(&word), sizeof word);
    }
    const std::string text = base64UrlEncode(secret);
    m_options.table.commit({.expects = {{.key = KeyRow, .version = 0}},
                            .writes = {{.key = KeyRow, .value = text}}},
                           [this, text](const Result<TableCommit> &commit) {
                               m_busy = false;
                               if (!commit)
                                   return logFailure("create key", commit.error());
                               if (commit.value().committed)
                                   return takeKey(text);
                               // Another router was first.
                               if (!commit.value().current.empty())
                                   takeKey(commit.value().current.front().value);
                           });
}

void FleetRegistration::takeKey(const std::string &secret)
{
    m_hasKey = true;
    m_options.onKey({.id = KeyId, .secret = secret});
    refresh();
}

void FleetRegistration::writeOwnRow()
{
    m_options.table.commit(
            {.expects = {},
             .writes = {{.key = RouterRows + m_options.name, .value = m_options.peerAddress}}},
            [this](const Result<TableCommit> &commit) {
                m_busy = false;
                if (!commit)
                    return logFailure("register", commit.error());
                m_registered = true;
                refresh();
            });
}

void FleetRegistration::list()
{
    m_options.table.scan(RouterRows, MaxRouters, [this](const Result<std::vector<TableRow>> &rows) {
        m_busy = false;
        if (!rows)
            return logFailure("list", rows.error());
        m_listed = true;
        m_rowOf.clear();
        std::vector<std::string> addresses;
        for (const TableRow &it : rows.value()) {
            if (it.value == m_options.peerAddress)
                continue;
            m_rowOf[it.value] = it.key;
            addresses.push_back(it.value);
        }
        m_options.onAddresses(addresses);
    });
}

void FleetRegistration::leave()
{
    m_options.table.commit(
            {.expects = {},
             .writes = {{.key = RouterRows + m_options.name, .value = std::nullopt}}},
            [](const Result<TableCommit> &commit) {
                if (!commit)
                    logFailure("leave", commit.error());
            });
}

void FleetRegistration::forget(const std::string &peerAddress)
{
    const auto it = m_rowOf.find(peerAddress);
    if (it == m_rowOf.end())
        return;
    m_options.table.commit({.expects = {}, .writes = {{.key = it->second, .value = std::nullopt}}},
                           [](const Result<TableCommit> &commit) {
                               if (!commit)
                                   logFailure("forget", commit.error());
                           });
    m_rowOf.erase(it);
}

} // namespace catkinloft
