#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/Tools.h"

#include <event2/http.h>
#include <fmt/format.h>

namespace catkinloft {

namespace {

std::string encoded(const char *text)
{
    char *raw = evhttp_uriencode(text, -1, 0);
    std::string out = raw;
    free(raw);
    return out;
}

} // namespace

int runWhere(std::span<char *const> arguments)
{
    std::string target = "/v1/where";
    if (!arguments.empty())
        target += "?workspace=" + encoded(arguments[0]);
    if (arguments.size() > 1)
        target += "&chat=" + encoded(arguments[1]);
    const Result<HttpAnswer> answer =
            internal::fetchBlocking({.address = internal::routerAddress(), .target = target});
    if (!answer) {
        internal::printError(answer.error().detail);
        return exit_code::Failed;
    }
    fmt::print("{}", answer.value().body);
    return answer.value().head.status == 200 ? exit_code::Ok : exit_code::Failed;
}

} // namespace catkinloft
