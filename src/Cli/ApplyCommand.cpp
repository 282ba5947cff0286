#include "Base/Inventory.h"
#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/ConfigRequest.h"
#include "Cli/internal/Tools.h"
#include "Control/TextDelta.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

constexpr std::size_t MaxDiffLines = 200;

} // namespace

int runApply(std::span<char *const> arguments)
{
    if (arguments.empty() || arguments.size() > 2) {
        internal::printError("usage: catkinloft apply INVENTORY [BASE]");
        return exit_code::Usage;
    }
    const auto text = internal::readArgument(arguments[0]);
    if (!text)
        return exit_code::Usage;
    YamlProblems problems;
    Inventory::parse(*text, arguments[0], 1, problems);
    for (const YamlProblem &it : problems)
        internal::printError(it.text());
    if (!problems.empty())
        return exit_code::Usage;
    const Result<internal::CurrentConfig> before = internal::readConfig();
    if (!before) {
        internal::printError(before.error().detail);
        return exit_code::Failed;
    }
    fmt::print("{}", describeDelta(before.value().text, *text, MaxDiffLines));
    // Without BASE the change is based on the active configuration, which the printed difference
    // refers to. With BASE the router refuses to overwrite a change made since that revision.
    const std::string tag =
            arguments.size() > 1 ? fmt::format("\"{}\"", arguments[1]) : before.value().tag;
    return internal::sendConfig("/v1/config", tag, *text);
}

} // namespace catkinloft
