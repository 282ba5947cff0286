#include "Cli/Command.h"

#include "Cli/Commands.h"

#include <array>

#include <fmt/format.h>
#include <gflags/gflags.h>

namespace catkinloft {

namespace {

constexpr std::string_view Version = "0.1.0";

int runHelp(std::span<char *const>)
{
    fmt::print("catkinloft {}: a router fleet for returning chats and service calls\n\n"
               "usage: catkinloft [flags] COMMAND [arguments]\n\n",
               Version);
    for (const Command &it : allCommands())
        fmt::print("  {:<8} {:<24} {}\n", it.name, it.arguments, it.summary);
    fmt::print(
            "\nFlags: catkinloft --help. Exit codes: 0 done, 1 refused or not reached, 2 mistakes "
            "in the\ncommand line or a file, 3 not known whether a change was accepted.\n");
    return exit_code::Ok;
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
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::span<char *const> arguments(argv, static_cast<std::size_t>(argc));
    if (arguments.size() < 2) {
        runHelp({});
        return exit_code::Usage;
    }
    for (const Command &it : allCommands()) {
        if (it.name == arguments[1])
            return it.run(arguments.subspan(2));
    }
    fmt::print(stderr, "catkinloft: no command '{}'; see 'catkinloft help'\n", arguments[1]);
    return exit_code::Usage;
}

} // namespace catkinloft
