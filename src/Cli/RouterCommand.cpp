#include "Base/Log.h"
#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/Tools.h"
#include "Net/RouterProcess.h"

namespace catkinloft {

int runRouter(std::span<char *const> arguments)
{
    internal::ignoreHangup();
    if (arguments.size() != 1) {
        internal::printError("usage: catkinloft router SETTINGS");
        return exit_code::Usage;
    }
    const auto text = internal::readArgument(arguments[0]);
    if (!text)
        return exit_code::Usage;
    YamlProblems problems;
    const auto settings = Settings::parse(*text, arguments[0], problems);
    for (const YamlProblem &it : problems)
        internal::printError(it.text());
    if (!settings)
        return exit_code::Usage;
    Log::setSource(settings->name);
    return RouterProcess(settings).run() == 0 ? exit_code::Ok : exit_code::Failed;
}

} // namespace catkinloft
