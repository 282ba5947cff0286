#include "Control/KvCacheMigrator.h"

#include "Base/Log.h"
#include "Decide/Rendezvous.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Consecutive failures after which the engine is considered gone.
constexpr int MaxFailures = 3;

constexpr const char *CopiesTotal = "catkinloft_kv_copies_total";

} // namespace

KvCacheMigrator::KvCacheMigrator(Options options) : m_options(options) { }

void KvCacheMigrator::setInventory(InventoryPtr inventory)
{
    m_inventory = std::move(inventory);
    for (const Engine &it : m_inventory->engines) {
        if (it.leaving && !m_migrations.contains(it.name))
            startMigration(it);
        else if (!it.leaving)
            m_migrations.erase(it.name);
    }
    std::erase_if(m_migrations, [this](const auto &it) { return !findEngine(it.first); });
}

std::size_t KvCacheMigrator::waiting() const
{
    std::size_t n = 0;
    for (const auto &it : m_migrations)
        n += it.second.chats.size();
    return n;
}

const Engine *KvCacheMigrator::findEngine(const std::string &name) const
{
    const auto it = std::find_if(m_inventory->engines.begin(), m_inventory->engines.end(),
                                 [&](const Engine &engine) { return engine.name == name; });
    return it == m_inventory->engines.end() ? nullptr : &*it;
}

const Engine *KvCacheMigrator::targetFor(std::uint64_t chatKey, const Engine &from) const
{
    const Engine *best = nullptr;
    double bestScore = 0;
    for (const std::size_t i : m_inventory->enginesOf(from.model)) {
        const Engine &it = m_inventory->engines[i];
        if (it.leaving || it.role != "serve")
            continue;
        const double score = rendezvousScore(chatKey, hash64(it.name), it.weight);
        if (!best || score > bestScore) {
            best = &it;
            bestScore = score;
        }
    }
    return best;
}

void KvCacheMigrator::startMigration(const Engine &engine)
{
    Migration migration;
    for (CachedChat &it : m_options.tracker.chatsOf(engine.name)) {
        if (it.chatKey != 0) // Without the key its rendezvous order is unknown.
            migration.chats.push_back(std::move(it));
    }
    Log::info("kv_move_started", {{"engine", engine.name}, {"chats", migration.chats.size()}});
    m_migrations[engine.name] = std::move(migration);
    for (int i = 0; i < m_options.parallel; ++i)
        copyNext(engine.name);
}

void KvCacheMigrator::copyNext(const std::string &name)
{
    const auto it = m_migrations.find(name);
    const Engine *from = findEngine(name);
    if (it == m_migrations.end() || !from || it->second.chats.empty())
        return;
    const CachedChat chat = std::move(it->second.chats.front());
    it->second.chats.pop_front();
    ++it->second.running;
    copy(name, *from, chat);
}

void KvCacheMigrator::copy(const std::string &name, const Engine &from, const CachedChat &chat)
{
    const Engine *to = targetFor(chat.chatKey, from);
    if (!to) {
        finishCopy(name, chat, Error{.reason = Reason::NoLiveEngine});
        return;
    }
    m_options.engines.exportKv(from.address, chat.chat,
                               [this, name, chat, address = to->address,
                                alive = std::weak_ptr(m_alive)](const Result<std::string> &blob) {
                                   if (alive.expired())
                                       return;
                                   if (!blob) {
                                       finishCopy(name, chat, blob.error());
                                       return;
                                   }
                                   m_options.engines.importKv(
                                           address, chat.chat, blob.value(),
                                           [this, name, chat, alive](const Result<void> &result) {
                                               if (!alive.expired())
                                                   finishCopy(name, chat, result);
                                           });
                               });
}

void KvCacheMigrator::finishCopy(const std::string &name, const CachedChat &chat,
                                 const Result<void> &result)
{
    m_options.metrics.count(CopiesTotal, Metrics::label("result", result ? "copied" : "failed"));
    const auto it = m_migrations.find(name);
    if (it == m_migrations.end())
        return;
    --it->second.running;
    it->second.failures = result ? 0 : it->second.failures + 1;
    if (!result) {
        Log::warning("kv_copy_failed",
                     {{"engine", name},
                      {"chat_key", chat.chatKey},
                      {"reason", reasonInfo(result.error().reason).code}});
    }
    if (it->second.failures >= MaxFailures)
        it->second.chats.clear();
    copyNext(name);
}

} // namespace catkinloft
