#include "EngineStandin.h"

#include "Base/Log.h"
#include "Request/ChatRequest.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft::standin {

EngineStandin::EngineStandin(Options options) : m_options(std::move(options)) { }

void EngineStandin::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/v1/chat/completions") {
        complete(exchange);
    } else if (exchange->path() == "/v1/load") {
        respondJson(*exchange, 200, load());
    } else if (exchange->path() == "/v1/executions") {
        Json::Value out;
        out["executions"] = m_executions;
        respondJson(*exchange, 200, out);
    } else {
        respondNotFound(*exchange);
    }
}

void EngineStandin::complete(const HttpExchangePtr &exchange)
{
    const Result<ChatRequest> request = ChatRequest::parse(exchange->body());
    if (!request) {
        Json::Value out;
        out["error"] = request.error().detail;
        respondJson(*exchange, 400, out);
        return;
    }
    auto it = std::make_shared<Generation>();
    it->exchange = exchange;
    it->id = exchange->header("X-Request-Id");
    it->streamed = request.value().stream;
    it->promptTokens = request.value().promptTokens;
    it->tokens = static_cast<int>(request.value().outputTokens);
    const std::string chat =
            request.value().chatId.empty() ? request.value().opening : request.value().chatId;
    it->cachedTokens = takeFromCache(chat, it->promptTokens);
    m_waiting.push_back(it);
    startNext();
}

double EngineStandin::takeFromCache(const std::string &chat, double tokens)
{
    const auto found = std::find_if(m_cache.begin(), m_cache.end(),
                                    [&](const auto &it) { return it.first == chat; });
    double cached = 0;
    if (found != m_cache.end()) {
        cached = std::min(found->second, tokens);
        m_cachedTokens -= found->second;
        m_cache.erase(found);
    }
    m_cache.emplace_front(chat, tokens);
    m_cachedTokens += tokens;
    while (m_cachedTokens > m_options.cacheTokens && m_cache.size() > 1) {
        m_cachedTokens -= m_cache.back().second;
        m_cache.pop_back();
    }
    return cached;
}

void EngineStandin::startNext()
{
    while (m_running < m_options.slots && !m_waiting.empty()) {
        const GenerationPtr it = m_waiting.front();
        m_waiting.pop_front();
        ++m_running;
        m_runningTokens += it->promptTokens + it->tokens;
        Json::Value record;
        record["request_id"] = it->id;
        record["prompt_tokens"] = it->promptTokens;
        record["cached_tokens"] = it->cachedTokens;
        m_executions.append(record);
        const double prefill = (it->promptTokens - it->cachedTokens) / m_options.prefillRate;
        m_options.loop.after(fromSeconds(prefill), [this, it] { nextToken(it); });
    }
}

void EngineStandin::nextToken(const GenerationPtr &it)
{
    if (!it->exchange->isOpen() || it->sent == it->tokens) {
        finish(it);
        return;
    }
    if (it->streamed && it->sent == 0)
        it->exchange->beginStream(
                200, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", it->id}});
    if (it->streamed) {
        it->exchange->write(fmt::format(
                "id: {}\ndata: {{\"id\":{},\"object\":\"chat.completion.chunk\",\"choices\":"
                "[{{\"index\":0,\"delta\":{{\"content\":\"t{} \"}}}}]}}\n\n",
                it->sent, jsonQuoted(it->id), it->sent));
    }
    ++it->sent;
    m_options.loop.after(m_options.tokenTime, [this, it] { nextToken(it); });
}

void EngineStandin::finish(const GenerationPtr &it)
{
    if (it->streamed) {
        it->exchange->write("data: [DONE]\n\n");
        it->exchange->end();
    } else {
        std::string text;
        for (int i = 0; i < it->tokens; ++i)
            text += fmt::format("t{} ", i);
        Json::Value out;
        out["id"] = it->id;
        out["object"] = "chat.completion";
        out["choices"][0]["message"]["role"] = "assistant";
        out["choices"][0]["message"]["content"] = text;
        out["usage"]["prompt_tokens"] = static_cast<int>(it->promptTokens);
        out["usage"]["completion_tokens"] = it->tokens;
        out["usage"]["prompt_tokens_details"]["cached_tokens"] = static_cast<int>(it->cachedTokens);
        it->exchange->respond(200, {{"Content-Type", "application/json"}, {"X-Request-Id", it->id}},
                              Json::writeString(Json::StreamWriterBuilder(), out));
    }
    --m_running;
    m_runningTokens -= it->promptTokens + it->tokens;
    startNext();
}

Json::Value EngineStandin::load() const
{
    Json::Value out;
    out["running"] = m_running;
    out["waiting"] = static_cast<int>(m_waiting.size());
    out["tokens"] = m_runningTokens;
    return out;
}

} // namespace catkinloft::standin
