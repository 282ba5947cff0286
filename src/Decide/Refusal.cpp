#include "Decide/Refusal.h"

#include "Base/Hash.h"
#include "Base/Json.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <json/json.h>

namespace catkinloft {

namespace {

constexpr std::size_t MacBytes = 16; ///< 128 bits of HMAC-SHA-256 are sufficient against forgery.

std::string toJson(const Refusal &refusal)
{
    Json::Value root;
    root["c"] = std::string(reasonInfo(refusal.error.reason).code);
    root["v"] = static_cast<int>(refusal.error.verdict);
    root["d"] = refusal.error.detail;
    root["u"] = refusal.error.rule;
    if (refusal.error.retryAfter)
        root["a"] = static_cast<Json::Int64>(refusal.error.retryAfter->count() / 1'000'000);
    for (const Figure &it : refusal.error.figures)
        root["f"][it.name] = it.value;
    root["r"] = static_cast<Json::UInt64>(refusal.revision);
    root["n"] = refusal.router;
    root["w"] = refusal.workspace;
    root["i"] = refusal.requestId;
    root["t"] = static_cast<Json::Int64>(refusal.at.time_since_epoch().count());
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, root);
}

Error notAToken()
{
    return {.reason = Reason::MalformedRequest, .detail = "not a refusal token"};
}

Result<Refusal> refusalOf(const Json::Value &root)
{
    const auto reason = reasonFromCode(root["c"].asString());
    if (!reason)
        return notAToken();
    Refusal out;
    out.error.reason = *reason;
    out.error.verdict = static_cast<Verdict>(root["v"].asInt());
    out.error.detail = root["d"].asString();
    out.error.rule = root["u"].asString();
    if (root.isMember("a"))
        out.error.retryAfter = std::chrono::milliseconds(root["a"].asInt64());
    for (const std::string &it : root["f"].getMemberNames())
        out.error.figures.push_back({.name = it, .value = root["f"][it].asDouble()});
    out.revision = root["r"].asUInt64();
    out.router = root["n"].asString();
    out.workspace = root["w"].asString();
    out.requestId = root["i"].asString();
    out.at = WallTime(std::chrono::milliseconds(root["t"].asInt64()));
    return out;
}

Result<Refusal> fromJson(const std::string &text)
{
    const Result<Json::Value> root = parseJsonObject(text);
    if (!root)
        return notAToken();
    return readJson<Refusal>(root.value(), Reason::MalformedRequest, &refusalOf);
}

std::string_view verdictSentence(Verdict v)
{
    switch (v) {
    case Verdict::NotRun:
        return "The request did not run.";
    case Verdict::MayHaveRun:
        return "The request may have run.";
    case Verdict::Ran:
        return "The request ran.";
    }
    return "The request may have run.";
}

} // namespace

std::string encodeRefusal(const Refusal &refusal, std::span<const SharedKey> keys)
{
    if (keys.empty())
        return {};
    const std::string body = toJson(refusal);
    const std::string mac = hmacSha256(keys.front().secret, body).substr(0, MacBytes);
    return fmt::format("{}.{}.{}", base64UrlEncode(keys.front().id), base64UrlEncode(body),
                       base64UrlEncode(mac));
}

Result<Refusal> decodeRefusal(std::string_view token, std::span<const SharedKey> keys)
{
    const std::size_t first = token.find('.');
    const std::size_t last = token.rfind('.');
    if (first == std::string_view::npos || first == last)
        return notAToken();
    const std::string id = base64UrlDecode(token.substr(0, first));
    const std::string body = base64UrlDecode(token.substr(first + 1, last - first - 1));
    const std::string mac = base64UrlDecode(token.substr(last + 1));
    for (const SharedKey &it : keys) {
        if (it.id == id && constantTimeEqual(mac, hmacSha256(it.secret, body).substr(0, MacBytes)))
            return fromJson(body);
    }
    return Error{.reason = Reason::MalformedRequest,
                 .detail = "the token was not signed with a key that this system accepts"};
}

std::string explainRefusal(const Refusal &refusal)
{
    const ReasonInfo &info = reasonInfo(refusal.error.reason);
    std::string out = fmt::format("{} ({})\n{}\n", info.title, info.code,
                                  verdictSentence(refusal.error.verdict));
    if (!refusal.error.detail.empty())
        out += fmt::format("Detail: {}\n", refusal.error.detail);
    if (!refusal.error.rule.empty())
        out += fmt::format("Rule: {}\n", refusal.error.rule);
    for (const Figure &it : refusal.error.figures)
        out += fmt::format("  {} = {:.6g}\n", it.name, it.value);
    out += fmt::format("Configuration revision: {}\nRouter: {}\nWorkspace: {}\nRequest: {}\n",
                       refusal.revision, refusal.router,
                       refusal.workspace.empty() ? "(unknown)" : refusal.workspace,
                       refusal.requestId);
    out += fmt::format("At: {:%Y-%m-%d %H:%M:%S} UTC\n",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(refusal.at)));
    if (refusal.error.retryAfter) {
        out += fmt::format("Try again after {:.3f} s.\n", toSeconds(*refusal.error.retryAfter));
    }
    return out;
}

} // namespace catkinloft
