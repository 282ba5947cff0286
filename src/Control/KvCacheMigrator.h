#pragma once

#include "Base/Inventory.h"
#include "Base/Metrics.h"
#include "Control/EngineClient.h"
#include "Control/EngineTracker.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace catkinloft {

/// \brief Copies the KV caches of an engine's chats to the first remaining engine in each chat's
/// rendezvous order when the inventory marks the engine as leaving.
///
/// Handles the planned shutdown of one engine or of a rack, with hundreds of chats each. Prevents
/// chats that continue after the shutdown from waiting until their prompt has been processed again.
/// A copy needs no lease: if the target engine receives a cache twice or does not use it, its
/// answers are the same.
class KvCacheMigrator
{
public:
    struct Options
    {
        EngineClient &engines;
        EngineTracker &tracker;
        Metrics &metrics;
        /// Concurrent copies per engine, limited because it still serves its last requests.
        int parallel = 2;
    };

    explicit KvCacheMigrator(Options options);

    /// \brief Sets the inventory and begins to copy from engines that are newly marked as leaving.
    void setInventory(InventoryPtr inventory);

    /// \returns the number of chats whose copy has not begun yet.
    std::size_t waiting() const;

private:
    struct Migration
    {
        std::deque<CachedChat> chats; ///< Sorted by descending number of tokens.
        int running = 0;
        int failures = 0; ///< Consecutive failures.
    };

    void startMigration(const Engine &engine);
    void copyNext(const std::string &name);
    void copy(const std::string &name, const Engine &from, const CachedChat &chat);
    void finishCopy(const std::string &name, const CachedChat &chat, const Result<void> &result);
    const Engine *findEngine(const std::string &name) const;
    const Engine *targetFor(std::uint64_t chatKey, const Engine &from) const;

    Options m_options;
    InventoryPtr m_inventory;
    std::map<std::string, Migration> m_migrations;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft
