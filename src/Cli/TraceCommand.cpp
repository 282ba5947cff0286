#include "Base/RequestTrace.h"
#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/Tools.h"

#include <fmt/format.h>

namespace catkinloft {

int runTrace(std::span<char *const> arguments)
{
    if (arguments.size() < 2) {
        internal::printError("usage: catkinloft trace REQUEST_ID LOG...");
        return exit_code::Usage;
    }
    RequestTrace trace(arguments[0]);
    for (char *file : arguments.subspan(1)) {
        const auto text = internal::readArgument(file);
        if (!text)
            return exit_code::Usage;
        trace.addLog(*text);
    }
    if (!trace.isKnown()) {
        internal::printError(fmt::format("no line of these logs names request {}", arguments[0]));
        return exit_code::Failed;
    }
    fmt::print("{}", trace.summary());
    return exit_code::Ok;
}

} // namespace catkinloft
