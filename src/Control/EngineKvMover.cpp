#include "Control/EngineKvMover.h"

#include "Base/Log.h"
#include "Decide/Rendezvous.h"

#include <algorithm>

namespace catkinloft {

namespace {

/// Consecutive failures after which the engine is considered gone.
constexpr int MaxFailures = 3;

constexpr const char *CopiesTotal = "catkinloft_kv_copies_total";

} // namespace

EngineKvMover::EngineKvMover(Options options) : m_options(options) { }

void EngineKvMover::setInventory(InventoryPtr inventory)
{
    m_inventory = std::move(inventory);
    for (const Engine &it : m_inventory->engines) {
        if (it.leaving && !m_leaves.contains(it.name))
            start(it);
        else if (!it.leaving)
            m_leaves.erase(it.name);
    }
    std::erase_if(m_leaves, [this](const auto &it) { return !engineNamed(it.first); });
}

std::size_t EngineKvMover::waiting() const
{
    std::size_t n = 0;
    for (const auto &it : m_leaves)
        n += it.second.chats.size();
    return n;
}

const Engine *EngineKvMover::engineNamed(const std::string &name) const
{
    const auto it = std::find_if(m_inventory->engines.begin(), m_inventory->engines.end(),
                                 [&](const Engine &engine) { return engine.name == name; });
    return it == m_inventory->engines.end() ? nullptr : &*it;
}

const Engine *EngineKvMover::nextFor(std::uint64_t chatKey, const Engine &from) const
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

void EngineKvMover::start(const Engine &engine)
{
    Leave leave;
    for (CachedChat &it : m_options.knowledge.chatsOf(engine.name)) {
        if (it.chatKey != 0) // Without the key its rendezvous order is unknown.
            leave.chats.push_back(std::move(it));
    }
    Log::info("kv_move_started", {{"engine", engine.name}, {"chats", leave.chats.size()}});
    m_leaves[engine.name] = std::move(leave);
    for (int i = 0; i < m_options.parallel; ++i)
        next(engine.name);
}

void EngineKvMover::next(const std::string &name)
{
    const auto it = m_leaves.find(name);
    const Engine *from = engineNamed(name);
    if (it == m_leaves.end() || !from || it->second.chats.empty())
        return;
    const CachedChat chat = std::move(it->second.chats.front());
    it->second.chats.pop_front();
    ++it->second.running;
    copy(name, *from, chat);
}

void EngineKvMover::copy(const std::string &name, const Engine &from, const CachedChat &chat)
{
    const Engine *to = nextFor(chat.chatKey, from);
    if (!to) {
        copied(name, chat, Error{.reason = Reason::NoLiveEngine});
        return;
    }
    m_options.engines.exportKv(from.address, chat.chat,
                               [this, name, chat, address = to->address,
                                alive = std::weak_ptr(m_alive)](const Result<std::string> &blob) {
                                   if (alive.expired())
                                       return;
                                   if (!blob) {
                                       copied(name, chat, blob.error());
                                       return;
                                   }
                                   m_options.engines.importKv(
                                           address, chat.chat, blob.value(),
                                           [this, name, chat, alive](const Result<void> &result) {
                                               if (!alive.expired())
                                                   copied(name, chat, result);
                                           });
                               });
}

void EngineKvMover::copied(const std::string &name, const CachedChat &chat,
                           const Result<void> &result)
{
    m_options.metrics.count(CopiesTotal, Metrics::label("result", result ? "copied" : "failed"));
    const auto it = m_leaves.find(name);
    if (it == m_leaves.end())
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
    next(name);
}

} // namespace catkinloft
