#include "Base/Settings.h"
#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/Tools.h"
#include "Decide/Refusal.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

int explainOffline(const char *token, const char *file)
{
    const auto text = internal::readFile(file);
    YamlProblems problems;
    const auto settings = text ? Settings::parse(*text, file, problems) : nullptr;
    if (!settings) {
        internal::printError(fmt::format("can not use {} as settings", file));
        return exit_code::Usage;
    }
    const Result<Refusal> refusal = decodeRefusal(token, settings->refusalKeys);
    if (!refusal) {
        internal::printError(refusal.error().detail);
        return exit_code::Failed;
    }
    fmt::print("{}", explainRefusal(refusal.value()));
    return exit_code::Ok;
}

} // namespace

int runExplain(std::span<char *const> arguments)
{
    if (arguments.empty() || arguments.size() > 2) {
        internal::printError("usage: catkinloft explain TOKEN [SETTINGS]");
        return exit_code::Usage;
    }
    if (arguments.size() == 2)
        return explainOffline(arguments[0], arguments[1]);
    const Result<HttpAnswer> answer =
            internal::fetchBlocking({.address = internal::routerAddress(),
                                     .target = fmt::format("/v1/explain?token={}", arguments[0]),
                                     .headers = internal::authorization()});
    if (!answer) {
        internal::printError(answer.error().detail);
        return exit_code::Failed;
    }
    fmt::print("{}", answer.value().body);
    return answer.value().head.status == 200 ? exit_code::Ok : exit_code::Failed;
}

} // namespace catkinloft
