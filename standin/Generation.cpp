#include "Generation.h"

#include "Base/Log.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft::standin {

Generation::Generation(EngineRequest request, HttpExchangePtr exchange)
    : m_request(std::move(request)), m_exchange(std::move(exchange))
{ }

void Generation::resume(HttpExchangePtr exchange, int after)
{
    // Only one connection is served: the previous one may be dead without the engine noticing.
    m_exchange->abort();
    m_exchange = std::move(exchange);
    m_sent = std::max(0, after + 1);
    sendPending();
    if (m_complete)
        complete();
}

bool Generation::produce()
{
    if (m_cancelled || m_produced >= m_request.outputTokens)
        return false;
    ++m_produced;
    if (m_request.streamed)
        sendPending();
    return true;
}

void Generation::sendPending()
{
    if (!m_exchange->isStreaming()) {
        m_exchange->beginStream(
                200, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", m_request.id}});
    }
    for (; m_sent < m_produced; ++m_sent) {
        m_exchange->write(fmt::format(
                "id: {0}\ndata: {{\"id\":{1},\"object\":\"chat.completion.chunk\",\"echo\":{2},"
                "\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{0} \"}}}}]}}\n\n",
                m_sent, jsonQuoted(m_request.id), jsonQuoted(m_request.echo)));
    }
}

void Generation::complete()
{
    m_complete = true;
    if (m_cancelled) {
        m_exchange->abort();
    } else if (m_request.streamed) {
        sendPending();
        m_exchange->write("data: [DONE]\n\n");
        m_exchange->end();
    } else {
        m_exchange->respond(200,
                            {{"Content-Type", "application/json"}, {"X-Request-Id", m_request.id}},
                            answerBody());
    }
}

std::string Generation::answerBody() const
{
    std::string text;
    for (int i = 0; i < m_produced; ++i)
        text += fmt::format("t{} ", i);
    Json::Value out;
    out["id"] = m_request.id;
    out["object"] = "chat.completion";
    out["echo"] = m_request.echo;
    out["choices"][0]["message"]["role"] = "assistant";
    out["choices"][0]["message"]["content"] = text;
    out["usage"]["prompt_tokens"] = static_cast<int>(m_request.promptTokens);
    out["usage"]["completion_tokens"] = m_produced;
    out["usage"]["prompt_tokens_details"]["cached_tokens"] = static_cast<int>(cachedTokens);
    return Json::writeString(Json::StreamWriterBuilder(), out);
}

} // namespace catkinloft::standin
