#include "Base/EntrySettings.h"
#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/Tools.h"
#include "Net/EntryProcess.h"
#include "platform/Platform.h"

#include <cstdlib>

namespace catkinloft {

namespace {

constexpr const char *SettingsVariable = "CATKINLOFT_CONFIG";

/// \returns the path of the settings file, from the argument or else from the environment.
const char *settingsPath(std::span<char *const> arguments)
{
    return arguments.empty() ? std::getenv(SettingsVariable) : arguments[0];
}

} // namespace

int runEntry(std::span<char *const> arguments)
{
    internal::ignoreHangup();
    const char *path = settingsPath(arguments);
    if (arguments.size() > 1 || !path) {
        internal::printError("usage: catkinloft entry [SETTINGS], or with the path in "
                             "CATKINLOFT_CONFIG");
        return exit_code::Usage;
    }
    const auto text = internal::readArgument(path);
    if (!text)
        return exit_code::Usage;
    YamlProblems problems;
    const auto settings = EntrySettings::parse(*text, path, problems);
    for (const YamlProblem &it : problems)
        internal::printError(it.text());
    if (!settings)
        return exit_code::Usage;
    EntryProcess process(*settings, path, platform::makeAdapter());
    return process.run() == 0 ? exit_code::Ok : exit_code::Failed;
}

} // namespace catkinloft
