#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/Tools.h"

#include <fmt/format.h>

namespace catkinloft {

int runHistory(std::span<char *const>)
{
    const Result<HttpAnswer> answer = internal::fetchNow({.address = internal::routerAddress(),
                                                          .target = "/v1/history",
                                                          .headers = internal::authorization()});
    if (!answer) {
        internal::complain(answer.error().detail);
        return exit_code::Failed;
    }
    fmt::print("{}", answer.value().body);
    return answer.value().head.status == 200 ? exit_code::Ok : exit_code::Failed;
}

} // namespace catkinloft
