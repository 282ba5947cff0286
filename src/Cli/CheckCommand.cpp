#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/CheckFile.h"
#include "Cli/internal/Tools.h"

#include <fmt/format.h>

namespace catkinloft {

int runCheck(std::span<char *const> arguments)
{
    if (arguments.empty()) {
        internal::printError("usage: catkinloft check FILE...");
        return exit_code::Usage;
    }
    YamlProblems problems;
    for (const char *it : arguments)
        internal::checkFile(it, problems);
    for (const YamlProblem &it : problems)
        fmt::print(stderr, "{}\n", it.text());
    return problems.empty() ? exit_code::Ok : exit_code::Usage;
}

} // namespace catkinloft
