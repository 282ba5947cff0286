#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/ConfigRequest.h"
#include "Cli/internal/Tools.h"

#include <string>

namespace catkinloft {

int runRollback(std::span<char *const> arguments)
{
    const std::string revision = arguments.size() == 1 ? arguments[0] : "";
    if (revision.empty() || revision.find_first_not_of("0123456789") != std::string::npos) {
        internal::printError("usage: catkinloft rollback REVISION");
        return exit_code::Usage;
    }
    const Result<internal::CurrentConfig> before = internal::readConfig();
    if (!before) {
        internal::printError(before.error().detail);
        return exit_code::Failed;
    }
    return internal::sendConfig("/v1/config?rollback=" + revision, before.value().tag, {});
}

} // namespace catkinloft
