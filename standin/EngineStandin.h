#pragma once

#include "EngineOrders.h"
#include "ExecutionRecord.h"
#include "Generation.h"
#include "PrefixCache.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace catkinloft::standin {

/// \brief Simulates a model engine: processes a limited number of requests in a batch, prefills
/// prompts at a fixed rate, generates tokens more slowly the fuller the batch is, and caches the
/// prefixes of recent chats up to a capacity.
class EngineStandin final : public Standin
{
public:
    struct Options
    {
        EventLoop &loop;
        std::string name;
        std::string model; ///< Model at start; an order may change it.
        int slots = 32; ///< Requests in a batch; further ones wait.
        double prefillRate = 20'000; ///< Prompt tokens per second.
        Duration tokenTime =
                std::chrono::milliseconds(5); ///< Between two tokens in an empty batch.
        double batchSlowdown = 0.5; ///< Relative increase of tokenTime in a full batch.
        double cacheTokens = 400'000; ///< Capacity of the prefix cache.
        Duration eventLag = std::chrono::milliseconds(500); ///< Until a cache event is visible.
        Duration loadLag = std::chrono::milliseconds(200); ///< Maximum age of a load report.
        bool checksFencing = false; ///< Refuses orders with an outdated fencing number.
        std::string recordFile = {}; ///< Executions are appended to it; empty: none.
    };

    explicit EngineStandin(Options options);

    void handle(const HttpExchangePtr &exchange) override;

private:
    using Route = std::function<void(const HttpExchangePtr &)>;

    void addRoutes();
    void complete(const HttpExchangePtr &exchange);
    void stream(const HttpExchangePtr &exchange);
    void exportKv(const HttpExchangePtr &exchange);
    void importKv(const HttpExchangePtr &exchange);
    void startNext();
    void nextToken(const GenerationPtr &it);
    void finish(const GenerationPtr &it);
    void scheduleStreamExpiry(const GenerationPtr &it);
    Duration tokenTime() const;
    const Json::Value &load();

    Options m_options;
    std::map<std::string, Route> m_routes;
    PrefixCache m_cache;
    EngineOrders m_orders;
    std::multimap<int, GenerationPtr> m_waiting; ///< By priority, then arrival.
    std::unordered_map<std::string, GenerationPtr> m_streams; ///< Latest generation by request id.
    int m_running = 0;
    double m_runningTokens = 0;
    Json::Value m_load;
    TimePoint m_loadAt;
    Json::Value m_executions{Json::arrayValue};
    ExecutionRecord m_record;
};

} // namespace catkinloft::standin
