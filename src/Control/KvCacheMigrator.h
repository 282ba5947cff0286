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

/// \brief Copies the KV caches of an engine's chats to the next engine in each chat's own order,
/// once the inventory says that the engine is leaving.
///
/// Load: a planned leave of one engine, or of a rack of them, with some hundred chats each.
/// Harm prevented: chats that return after the leave and wait while their finding aid is read
/// again.
/// A copy needs no lease: the engine that gets it may hold it twice or not use it, and answers are
/// the same either way.
class KvCacheMigrator
{
public:
    struct Options
    {
        EngineClient &engines;
        EngineTracker &tracker;
        Metrics &metrics;
        /// Copies at a time from one engine: it still serves its last requests meanwhile.
        int parallel = 2;
    };

    explicit KvCacheMigrator(Options options);

    /// \brief Takes over the inventory; starts on engines that are leaving in it and were not
    /// before.
    void setInventory(InventoryPtr inventory);

    /// \returns chats still to be copied.
    std::size_t waiting() const;

private:
    struct Migration
    {
        std::deque<CachedChat> chats; ///< The most tokens first.
        int running = 0;
        int failures = 0; ///< In a row.
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
