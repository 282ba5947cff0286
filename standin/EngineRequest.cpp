#include "EngineRequest.h"

#include "Standin.h"

#include <cstdlib>

namespace catkinloft::standin {

namespace {

constexpr std::size_t EchoLength = 64;
constexpr double BytesPerToken = 4;

std::string textOf(const Json::Value &message)
{
    if (message.isObject() && message["content"].isString())
        return message["content"].asString();
    return {};
}

std::string chatOf(const HttpExchange &exchange, const Json::Value &root)
{
    for (const char *name : {"X-Catkinloft-Chat-Key", "X-Chat-Id"}) {
        if (const std::string_view id = exchange.header(name); !id.empty())
            return std::string(id);
    }
    const Json::Value &metadata = root["metadata"];
    if (metadata.isObject() && metadata["chat_id"].isString())
        return metadata["chat_id"].asString();
    return textOf(root["messages"][0]);
}

} // namespace

std::optional<EngineRequest> EngineRequest::parse(const HttpExchange &exchange)
{
    const Json::Value root = bodyObject(exchange);
    const Json::Value &messages = root["messages"];
    if (!messages.isArray() || messages.empty())
        return std::nullopt;
    EngineRequest out;
    out.id = exchange.header("X-Request-Id");
    out.chat = chatOf(exchange, root);
    out.echo = textOf(messages[messages.size() - 1]).substr(0, EchoLength);
    out.streamed = root["stream"].isBool() && root["stream"].asBool();
    for (const Json::Value &it : messages)
        out.promptTokens += static_cast<double>(textOf(it).size()) / BytesPerToken;
    if (root["max_tokens"].isInt())
        out.outputTokens = root["max_tokens"].asInt();
    if (root["priority"].isInt())
        out.priority = root["priority"].asInt();
    if (const std::string text(exchange.header("X-Priority")); !text.empty())
        out.priority = static_cast<int>(std::strtol(text.c_str(), nullptr, 10));
    return out;
}

} // namespace catkinloft::standin
