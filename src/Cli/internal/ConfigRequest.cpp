#include "Cli/internal/ConfigRequest.h"

#include "Base/Random.h"
#include "Cli/Command.h"
#include "Cli/internal/Tools.h"

#include <fmt/format.h>

namespace catkinloft::internal {

namespace {

/// With the router's own 6 s of reading back, about half a minute in all.
constexpr int MaxSends = 4;

constexpr std::string_view ConfigPath = "/v1/config";

bool isUnknown(const Result<HttpAnswer> &answer)
{
    if (!answer)
        return answer.error().verdict != Verdict::NotRun;
    return answer.value().head.status == 503
            && answer.value().body.find("\"may_have_run\"") != std::string::npos;
}

} // namespace

CurrentConfig fetchConfig()
{
    const Result<HttpAnswer> answer = fetchNow({.address = routerAddress(),
                                                .target = std::string(ConfigPath),
                                                .headers = authorization()});
    if (!answer || answer.value().head.status != 200) {
        complain(answer ? answer.value().body : answer.error().detail);
        return {.exitCode = exit_code::Failed};
    }
    std::string revision(answer.value().head.header("ETag"));
    std::erase(revision, '"');
    return {.text = answer.value().body, .revision = revision};
}

int putConfig(std::string_view query, const std::string &text, const std::string &base)
{
    const RandomSource random = systemRandom();
    HttpHeaders headers = authorization();
    headers.emplace_back("If-Match", "\"" + base + "\"");
    headers.emplace_back("Idempotency-Key", fmt::format("{:016x}{:016x}", random(), random()));
    for (int i = 1;; ++i) {
        const Result<HttpAnswer> answer =
                fetchNow({.address = routerAddress(),
                          .method = "PUT",
                          .target = fmt::format("{}{}", ConfigPath, query),
                          .headers = headers,
                          .body = text});
        if (isUnknown(answer) && i < MaxSends)
            continue;
        if (!answer)
            complain(answer.error().detail);
        else
            fmt::print("{}", answer.value().body);
        if (isUnknown(answer))
            return exit_code::Unknown;
        return answer && answer.value().head.status == 200 ? exit_code::Ok : exit_code::Failed;
    }
}

} // namespace catkinloft::internal
