#include "Cli/Command.h"

#include "Base/Version.h"
#include "Cli/Commands.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

namespace catkinloft {

namespace {

/// Prints the flags of the commands. Those of the flags library itself are left out; `--helpfull`
/// lists them.
void printFlags()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo &it : flags) {
        if (it.filename.find("/Cli/") == std::string::npos)
            continue;
        const std::string name = it.type == "bool" ? it.name : it.name + "=VALUE";
        fmt::print("  --{:<22} {}{}\n", name, it.description,
                   it.type == "bool" || it.default_value.empty()
                           ? std::string()
                           : fmt::format(" (default {})", it.default_value));
    }
}

void printExitCodes()
{
    fmt::print(
            "\nExit codes: 0 done, 1 refused or not reached, 2 mistakes in the command line or a "
            "file,\n3 not known whether a change was accepted.\n");
}

int runHelp(std::span<char *const>)
{
    fmt::print("catkinloft {}: a router fleet for returning chats and service calls\n\n"
               "usage: catkinloft [flags] COMMAND [arguments]\n\n",
               Version);
    for (const Command &it : allCommands())
        fmt::print("  {:<8} {:<24} {}\n", it.name, it.arguments, it.summary);
    fmt::print("\nFlags:\n");
    printFlags();
    fmt::print("\nExample: catkinloft check deploy/settings.yaml\n");
    printExitCodes();
    return exit_code::Ok;
}

int printHelpOf(const Command &command)
{
    fmt::print("usage: catkinloft [flags] {} {}\n\n{}\n\nFlags:\n", command.name, command.arguments,
               command.summary);
    printFlags();
    printExitCodes();
    return exit_code::Ok;
}

/// \returns whether `--help` or `-h` stands among \a arguments.
bool isHelpRequested(std::span<char *const> arguments)
{
    return std::any_of(arguments.begin(), arguments.end(), [](std::string_view it) {
        return it == "--help" || it == "-help" || it == "-h";
    });
}

const Command *findCommand(std::string_view name)
{
    const std::span<const Command> all = allCommands();
    const auto it = std::find_if(all.begin(), all.end(),
                                 [&](const Command &command) { return command.name == name; });
    return it == all.end() ? nullptr : &*it;
}

int runVersion(std::span<char *const>)
{
    fmt::print("catkinloft {}\n", Version);
    return exit_code::Ok;
}

} // namespace

std::span<const Command> allCommands()
{
    static const std::array commands = {
            Command{"router", "SETTINGS", "Runs the router of one entry VM.", &runRouter},
            Command{"entry", "[SETTINGS]", "Runs the router of an entry VM on the users' platform.",
                    &runEntry},
            Command{"check", "FILE...", "Checks settings and inventory files.", &runCheck},
            Command{"apply", "INVENTORY [BASE]", "Puts a changed inventory in force.", &runApply},
            Command{"rollback", "REVISION", "Puts an earlier revision in force, as a new one.",
                    &runRollback},
            Command{"history", "", "Lists the accepted changes, newest first.", &runHistory},
            Command{"status", "", "Shows the routers and what they hold.", &runStatus},
            Command{"explain", "TOKEN [SETTINGS]", "Says in plain words why work was refused.",
                    &runExplain},
            Command{"where", "[WORKSPACE [CHAT]]", "Asks which address a caller should use.",
                    &runWhere},
            Command{"trace", "REQUEST_ID LOG...", "Tells from logs what happened to a request.",
                    &runTrace},
            Command{"help", "", "Shows this page.", &runHelp},
            Command{"version", "", "Prints the version.", &runVersion},
    };
    return commands;
}

int runCommandLine(int argc, char **argv)
{
    gflags::SetVersionString(std::string(Version));
    gflags::SetUsageMessage("a router fleet for returning chats and service calls; "
                            "see 'catkinloft help'");
    // The flags library's own page lists every flag that is linked in, and no command.
    const std::span<char *const> given(argv, static_cast<std::size_t>(argc));
    if (isHelpRequested(given.subspan(std::min<std::size_t>(1, given.size())))) {
        for (const std::string_view it : given.subspan(1)) {
            if (const Command *command = findCommand(it))
                return printHelpOf(*command);
        }
        return runHelp({});
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::span<char *const> arguments(argv, static_cast<std::size_t>(argc));
    if (arguments.size() < 2) {
        runHelp({});
        return exit_code::Usage;
    }
    if (const Command *command = findCommand(arguments[1]))
        return command->run(arguments.subspan(2));
    fmt::print(stderr, "catkinloft: no command '{}'; see 'catkinloft help'\n", arguments[1]);
    return exit_code::Usage;
}

} // namespace catkinloft
