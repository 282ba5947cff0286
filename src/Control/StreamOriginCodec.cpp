#include "Control/StreamOriginCodec.h"

#include "Base/Json.h"

#include <algorithm>
#include <functional>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Distinguishes the datagram from a heartbeat.
constexpr std::string_view Prefix = "stream-origins ";

/// Longest time that a message may state; no stream is resumable for longer.
constexpr std::chrono::milliseconds MaxTime = 24h;

Json::Value toMilliseconds(Duration d)
{
    return {static_cast<Json::Int64>(std::min<Duration>(d, MaxTime) / 1ms)};
}

Duration toDuration(const Json::Value &ms)
{
    // Compared as milliseconds, because larger values would overflow a Duration.
    return std::clamp<std::chrono::milliseconds>(std::chrono::milliseconds(ms.asInt64()), 0ms,
                                                 MaxTime);
}

template<typename T>
Result<T> decode(std::string_view text, const std::function<T(const Json::Value &)> &read)
{
    const Result<Json::Value> root = parseJsonObject(text);
    if (!root)
        return Error{.reason = Reason::MalformedRequest,
                     .detail = "not a message about the origins of streams"};
    return readJson<T>(root.value(), Reason::MalformedRequest, read);
}

} // namespace

bool StreamOriginCodec::isOrigins(std::string_view datagram)
{
    return datagram.starts_with(Prefix);
}

std::string StreamOriginCodec::encodeOrigins(std::span<const StreamOrigin> origins)
{
    std::vector<std::string> software;
    Json::Value root(Json::objectValue);
    for (const StreamOrigin &it : origins) {
        const auto known = std::find(software.begin(), software.end(), it.software);
        const auto index = static_cast<Json::UInt64>(known - software.begin());
        if (known == software.end()) {
            software.push_back(it.software);
            root["v"].append(it.software);
        }
        Json::Value item(Json::arrayValue);
        item.append(it.stream);
        item.append(index);
        item.append(toMilliseconds(it.lifetime));
        root["s"].append(item);
    }
    return std::string(Prefix) + printJson(root);
}

Result<std::vector<StreamOrigin>> StreamOriginCodec::decodeOrigins(std::string_view datagram)
{
    if (!isOrigins(datagram))
        return Error{.reason = Reason::MalformedRequest, .detail = "not origins of streams"};
    return decode<std::vector<StreamOrigin>>(
            datagram.substr(Prefix.size()), [](const Json::Value &root) {
                std::vector<StreamOrigin> out;
                for (const Json::Value &it : root["s"]) {
                    const Json::ArrayIndex index = it[1].asUInt();
                    if (index >= root["v"].size())
                        throw Json::LogicError("unknown software");
                    out.push_back({.stream = it[0].asString(),
                                   .software = root["v"][index].asString(),
                                   .lifetime = toDuration(it[2])});
                }
                return out;
            });
}

std::string StreamOriginCodec::encodeQuestion(const StreamOriginQuestion &question)
{
    Json::Value root(Json::objectValue);
    root["stream"] = question.stream;
    root["services"] = Json::Value(Json::arrayValue);
    for (const std::string &it : question.services)
        root["services"].append(it);
    root["window_ms"] = toMilliseconds(question.window);
    return printJson(root);
}

Result<StreamOriginQuestion> StreamOriginCodec::decodeQuestion(std::string_view text)
{
    return decode<StreamOriginQuestion>(text, [](const Json::Value &root) {
        StreamOriginQuestion out{.stream = root["stream"].asString(),
                                 .window = toDuration(root["window_ms"])};
        for (const Json::Value &it : root["services"])
            out.services.push_back(it.asString());
        return out;
    });
}

std::string StreamOriginCodec::encodeReport(const StreamOriginReport &report)
{
    Json::Value root(Json::objectValue);
    if (report.software)
        root["software"] = *report.software;
    root["candidates"] = Json::Value(Json::arrayValue);
    for (const std::string &it : report.candidates)
        root["candidates"].append(it);
    root["observed_ms"] = toMilliseconds(report.observedFor);
    root["list_age_ms"] = toMilliseconds(report.listAge);
    root["remembered_ms"] = toMilliseconds(report.rememberedFor);
    return printJson(root);
}

Result<StreamOriginReport> StreamOriginCodec::decodeReport(std::string_view text)
{
    return decode<StreamOriginReport>(text, [](const Json::Value &root) {
        StreamOriginReport out{.observedFor = toDuration(root["observed_ms"]),
                               .listAge = toDuration(root["list_age_ms"]),
                               .rememberedFor = toDuration(root["remembered_ms"])};
        if (root.isMember("software"))
            out.software = root["software"].asString();
        for (const Json::Value &it : root["candidates"])
            out.candidates.insert(it.asString());
        return out;
    });
}

} // namespace catkinloft
