#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Exit codes of all subcommands, documented in docs/OPERATING.md.
namespace exit_code {
inline constexpr int Ok = 0;
inline constexpr int Failed = 1; ///< The system refused, or was unreachable.
inline constexpr int Usage = 2; ///< The command line or a file has errors.
inline constexpr int Unknown = 3; ///< The change may or may not have been accepted.
} // namespace exit_code

/// \brief A subcommand of the program.
struct Command
{
    std::string_view name;
    std::string_view arguments; ///< For the usage line.
    std::string_view summary; ///< One line.
    std::function<int(std::span<char *const> arguments)> run;
};

/// \returns all subcommands, in the order of the help page.
std::span<const Command> allCommands();

/// \brief Runs the subcommand given on the command line.
/// \returns the exit code of the process.
int runCommandLine(int argc, char **argv);

} // namespace catkinloft
