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
    if (arguments.size() != 1) {
        internal::complain("usage: catkinloft apply INVENTORY");
        return exit_code::Usage;
    }
    const auto text = internal::readFile(arguments[0]);
    if (!text) {
        internal::complain(std::string("can not read ") + arguments[0]);
        return exit_code::Usage;
    }
    YamlProblems problems;
    Inventory::parse(*text, arguments[0], 1, problems);
    for (const YamlProblem &it : problems)
        internal::complain(it.text());
    if (!problems.empty())
        return exit_code::Usage;
    const Result<internal::CurrentConfig> before = internal::readConfig();
    if (!before) {
        internal::complain(before.error().detail);
        return exit_code::Failed;
    }
    fmt::print("{}", describeDelta(before.value().text, *text, MaxDiffLines));
    return internal::sendConfig("/v1/config", before.value().tag, *text);
}

} // namespace catkinloft
