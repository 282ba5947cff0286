#pragma once

#include <span>

namespace catkinloft {

// One function per subcommand, each in a file of its own. All return an exit code.
int runRouter(std::span<char *const> arguments);
int runEntry(std::span<char *const> arguments);
int runCheck(std::span<char *const> arguments);
int runApply(std::span<char *const> arguments);
int runRollback(std::span<char *const> arguments);
int runHistory(std::span<char *const> arguments);
int runStatus(std::span<char *const> arguments);
int runExplain(std::span<char *const> arguments);
int runWhere(std::span<char *const> arguments);
int runTrace(std::span<char *const> arguments);

} // namespace catkinloft
