#include "Cli/internal/ConfigRequest.h"

#include "Base/Random.h"
#include "Cli/Command.h"
#include "Cli/internal/Tools.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(change_id, "",
              "apply, rollback: names the change, so that repeating it gets the "
              "first result; empty: one is made up");

namespace catkinloft::internal {

namespace {

/// How often a change is sent at most if the answers are lost.
constexpr int MaxAttempts = 3;

std::string changeId()
{
    if (!FLAGS_change_id.empty())
        return FLAGS_change_id;
    const RandomSource random = systemRandom();
    return fmt::format("{:016x}{:016x}", random(), random());
}

/// \returns whether the router answered that it does not know if the change was accepted.
bool isOutcomeUnknown(const HttpAnswer &answer)
{
    return answer.head.status == 503 && answer.body.find("\"may_have_run\"") != std::string::npos;
}

} // namespace

Result<CurrentConfig> readConfig()
{
    const Result<HttpAnswer> answer = fetchBlocking(
            {.address = routerAddress(), .target = "/v1/config", .headers = authorization()});
    if (!answer)
        return answer.error();
    if (answer.value().head.status != 200)
        return Error{.reason = Reason::UpstreamRefused, .detail = answer.value().body};
    return CurrentConfig{.text = answer.value().body,
                         .tag = std::string(answer.value().head.header("ETag"))};
}

int sendConfig(const std::string &target, const std::string &tag, const std::string &body)
{
    HttpHeaders headers = authorization();
    headers.emplace_back("If-Match", tag);
    headers.emplace_back("Idempotency-Key", changeId());
    Result<HttpAnswer> answer = Error{};
    for (int i = 0; i < MaxAttempts; ++i) {
        answer = fetchBlocking({.address = routerAddress(),
                                .method = "PUT",
                                .target = target,
                                .headers = headers,
                                .body = body});
        if (answer ? !isOutcomeUnknown(answer.value()) : answer.error().verdict == Verdict::NotRun)
            break;
    }
    if (!answer) {
        printError(answer.error().detail);
        if (answer.error().verdict == Verdict::NotRun)
            return exit_code::Failed;
        printError(fmt::format("not known whether it was accepted; repeat with --change_id={}",
                               headers.back().second));
        return exit_code::Unknown;
    }
    fmt::print("{}", answer.value().body);
    if (isOutcomeUnknown(answer.value()))
        return exit_code::Unknown;
    return answer.value().head.status == 200 ? exit_code::Ok : exit_code::Failed;
}

} // namespace catkinloft::internal
