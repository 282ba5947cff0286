#include "Request/ChatRequest.h"

#include "Base/Hash.h"
#include "Base/Utf8.h"

#include <memory>

#include <json/json.h>

namespace catkinloft {

namespace {

constexpr double BytesPerToken = 4;
constexpr double DefaultOutputTokens = 128;
constexpr double MaxOutputTokens = 1'000'000;
constexpr int MaxNesting = 64;

Error malformed(std::string detail)
{
    return {.reason = Reason::MalformedRequest, .detail = std::move(detail)};
}

Result<Json::Value> parseObject(std::string_view body)
{
    if (!isUtf8(body))
        return malformed("the body is not UTF-8");
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = MaxNesting;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value root;
    std::string problem;
    try {
        if (reader->parse(body.data(), body.data() + body.size(), &root, &problem)
            && root.isObject())
            return root;
    } catch (const Json::Exception &) {
        return malformed("the body is nested too deeply");
    }
    return malformed("the body is not a JSON object");
}

/// \returns the text of one message. Parts other than text are skipped.
std::string contentText(const Json::Value &content)
{
    if (content.isString())
        return content.asString();
    std::string out;
    if (content.isArray()) {
        for (const Json::Value &it : content) {
            if (it.isObject() && it["text"].isString())
                out += it["text"].asString();
        }
    }
    return out;
}

Result<void> readMessages(const Json::Value &messages, ChatRequest &out)
{
    if (!messages.isArray() || messages.empty())
        return malformed("expected 'messages' as a non-empty array");
    bool openingComplete = false;
    std::size_t bytes = 0;
    for (const Json::Value &it : messages) {
        if (!it.isObject() || !it["role"].isString())
            return malformed("expected every message to be an object with 'role' and 'content'");
        const std::string text = contentText(it["content"]);
        bytes += text.size();
        if (openingComplete)
            continue;
        out.opening += it["role"].asString() + '\n' + text + '\n';
        openingComplete = it["role"].asString() == "user";
    }
    out.promptTokens = static_cast<double>(bytes) / BytesPerToken;
    return outcome::success();
}

Result<void> readLimits(const Json::Value &root, ChatRequest &out)
{
    out.outputTokens = DefaultOutputTokens;
    for (const char *key : {"max_tokens", "max_completion_tokens"}) {
        const Json::Value &value = root[key];
        if (value.isNull())
            continue;
        if (!value.isIntegral() || value.asDouble() < 1 || value.asDouble() > MaxOutputTokens)
            return malformed(std::string("expected '") + key + "' as a positive whole number");
        out.outputTokens = value.asDouble();
    }
    return outcome::success();
}

} // namespace

Result<ChatRequest> ChatRequest::parse(std::string_view body)
{
    Result<Json::Value> parsed = parseObject(body);
    if (!parsed)
        return parsed.error();
    const Json::Value &root = parsed.value();
    ChatRequest out;
    if (!root["model"].isString() || root["model"].asString().empty())
        return malformed("expected 'model' as a non-empty string");
    out.model = root["model"].asString();
    if (!root["stream"].isNull() && !root["stream"].isBool())
        return malformed("expected 'stream' as true or false");
    out.stream = root["stream"].isBool() && root["stream"].asBool();
    if (const Json::Value &metadata = root["metadata"]; metadata.isObject()) {
        if (metadata["chat_id"].isString())
            out.chatId = metadata["chat_id"].asString();
    }
    if (Result<void> result = readMessages(root["messages"], out); !result)
        return result.error();
    if (Result<void> result = readLimits(root, out); !result)
        return result.error();
    return out;
}

std::uint64_t ChatRequest::chatKey(std::string_view workspace) const
{
    // The key includes the workspace, so that equal texts of two workspaces share no context.
    const std::string_view name = chatId.empty() ? std::string_view(opening) : chatId;
    const std::uint64_t key = hashCombine(hash64(workspace), hash64(name, hash64(model)));
    return key == 0 ? 1 : key;
}

} // namespace catkinloft
