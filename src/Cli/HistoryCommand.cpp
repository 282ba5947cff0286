#include "Base/Json.h"
#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/Tools.h"

#include <chrono>
#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <json/json.h>

namespace catkinloft {

namespace {

void printChange(const Json::Value &it)
{
    const std::time_t at = static_cast<std::time_t>(it["accepted_at_ms"].asInt64() / 1000);
    fmt::print("{:>8}  {:%Y-%m-%d %H:%M:%S} UTC  {:<20} {}\n", it["revision"].asUInt64(),
               fmt::gmtime(at), it["author"].asString(), it["change_id"].asString());
}

} // namespace

int runHistory(std::span<char *const>)
{
    const Result<Json::Value> answer = internal::fetchJson("/v1/history");
    if (!answer) {
        internal::printError(answer.error().detail);
        return exit_code::Failed;
    }
    const Result<void> printed = readJson<void>(answer.value(), Reason::Internal,
                                                [](const Json::Value &history) -> Result<void> {
                                                    for (const Json::Value &it : history["changes"])
                                                        printChange(it);
                                                    return outcome::success();
                                                });
    if (printed)
        return exit_code::Ok;
    internal::printError(printed.error().detail);
    return exit_code::Failed;
}

} // namespace catkinloft
