#include "Request/Problem.h"

#include "Base/Log.h"

#include <cmath>

#include <fmt/format.h>

namespace catkinloft {

namespace {

constexpr int RequestTimeout = 408;
constexpr int TooManyRequests = 429;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

} // namespace

int Problem::status(const Error &error)
{
    const int status = reasonInfo(error.reason).status;
    if (error.verdict == Verdict::NotRun)
        return status == BadGateway || status == GatewayTimeout ? Unavailable : status;
    return promisesNotRun(status) ? BadGateway : status;
}

bool Problem::promisesNotRun(int status)
{
    return status == Unavailable || status == TooManyRequests || status == RequestTimeout
            || status == MisdirectedStatus;
}

std::string Problem::retryAfterFraction(Duration d)
{
    return fmt::format("{:.3f}", toSeconds(d));
}

std::string Problem::body(const Error &error, std::string_view requestId, std::string_view token)
{
    const ReasonInfo &info = reasonInfo(error.reason);
    std::string out = fmt::format(
            R"({{"type":"urn:catkinloft:{}","title":{},"status":{},"detail":{},"reason":"{}",)"
            R"("verdict":"{}","request_id":{})",
            info.code, jsonQuoted(info.title), status(error), jsonQuoted(error.detail), info.code,
            toString(error.verdict), jsonQuoted(requestId));
    if (error.retryAfter)
        out += fmt::format(R"(,"retry_after_ms":{})", error.retryAfter->count() / 1'000'000);
    if (!error.rule.empty())
        out += fmt::format(R"(,"rule":{})", jsonQuoted(error.rule));
    if (!error.figures.empty()) {
        out += R"(,"figures":{)";
        for (const Figure &it : error.figures) {
            out += fmt::format("{}{}:{}", &it == error.figures.data() ? "" : ",",
                               jsonQuoted(it.name), it.value);
        }
        out += "}";
    }
    if (!token.empty())
        out += fmt::format(R"(,"refusal":{})", jsonQuoted(token));
    return out + "}\n";
}

std::string Problem::retryAfter(const Error &error)
{
    if (!error.retryAfter)
        return {};
    return fmt::format("{}", std::max(1.0, std::ceil(toSeconds(*error.retryAfter))));
}

} // namespace catkinloft
