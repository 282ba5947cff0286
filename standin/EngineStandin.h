#pragma once

#include "EngineOrders.h"
#include "ExecutionRecord.h"
#include "Generation.h"
#include "PrefixCache.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace catkinloft::standin {

/// \brief A model engine: batches up to a number of requests, reads prompts and generates tokens
/// at fixed rates, and keeps the prefixes of recent chats in limited memory.
class EngineStandin final : public Standin
{
public:
    struct Options
    {
        EventLoop &loop;
        std::string name;
        std::string model; ///< What it runs until it is ordered otherwise.
        int slots = 32; ///< Requests in one batch; more wait.
        double prefillRate = 20'000; ///< Prompt tokens read a second.
        Duration tokenTime = std::chrono::milliseconds(5); ///< Between two tokens, alone.
        double batchSlowdown = 0.5; ///< Share by which a full batch makes a token slower.
        double cacheTokens = 400'000; ///< Prompt tokens kept.
        Duration eventLag = std::chrono::milliseconds(500); ///< Until a cache event shows.
        Duration loadLag = std::chrono::milliseconds(200); ///< Longest age of a load report.
        bool checksFencing = false; ///< Refuses orders with an old fencing number.
        std::string recordFile = {}; ///< Executions are added to it; empty: nowhere.
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
    std::unordered_map<std::string, GenerationPtr> m_streams; ///< The latest by request id.
    int m_running = 0;
    double m_runningTokens = 0;
    Json::Value m_load;
    TimePoint m_loadAt;
    Json::Value m_executions{Json::arrayValue};
    ExecutionRecord m_record;
};

} // namespace catkinloft::standin
