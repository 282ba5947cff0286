#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/ConfigRequest.h"
#include "Cli/internal/Tools.h"

#include <string>

namespace catkinloft {

int runRollback(std::span<char *const> arguments)
{
    if (arguments.size() != 1) {
        internal::complain("usage: catkinloft rollback REVISION");
        return exit_code::Usage;
    }
    const internal::CurrentConfig before = internal::fetchConfig();
    if (before.exitCode != exit_code::Ok)
        return before.exitCode;
    return internal::putConfig(std::string("?rollback=") + arguments[0], {}, before.revision);
}

} // namespace catkinloft
