#pragma once

#include "Standin.h"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
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
        int slots = 32; ///< Requests in one batch; more wait.
        double prefillRate = 20'000; ///< Prompt tokens read a second.
        Duration tokenTime = std::chrono::milliseconds(5); ///< Between two tokens of a request.
        double cacheTokens = 400'000; ///< Prompt tokens kept.
    };

    explicit EngineStandin(Options options);

    void handle(const HttpExchangePtr &exchange) override;

private:
    struct Generation
    {
        HttpExchangePtr exchange;
        std::string id;
        bool streamed = false;
        double promptTokens = 0;
        double cachedTokens = 0;
        int tokens = 0; ///< To be generated.
        int sent = 0;
    };
    using GenerationPtr = std::shared_ptr<Generation>;

    void complete(const HttpExchangePtr &exchange);
    void startNext();
    void nextToken(const GenerationPtr &it);
    void finish(const GenerationPtr &it);
    double takeFromCache(const std::string &chat, double tokens);
    Json::Value load() const;

    Options m_options;
    std::deque<GenerationPtr> m_waiting;
    int m_running = 0;
    double m_runningTokens = 0;
    std::list<std::pair<std::string, double>> m_cache; ///< Most recently used first.
    double m_cachedTokens = 0;
    Json::Value m_executions{Json::arrayValue};
};

} // namespace catkinloft::standin
