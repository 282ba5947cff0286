#include "Base/Hash.h"
#include "Base/Inventory.h"
#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/Tools.h"

#include <fmt/format.h>

namespace catkinloft {

int runApply(std::span<char *const> arguments)
{
    if (arguments.size() != 1) {
        internal::complain("usage: catkinloft apply INVENTORY");
        return exit_code::Usage;
    }
    const auto text = internal::readFile(arguments[0]);
    if (!text) {
        internal::complain(std::string("can not read ") + arguments[0]);
        return exit_code::Usage;
    }
    YamlProblems problems;
    Inventory::parse(*text, arguments[0], 1, problems);
    for (const YamlProblem &it : problems)
        internal::complain(it.text());
    if (!problems.empty())
        return exit_code::Usage;
    const Result<HttpAnswer> before = internal::fetchNow({.address = internal::routerAddress(),
                                                          .target = "/v1/config",
                                                          .headers = internal::authorization()});
    if (!before || before.value().head.status != 200) {
        internal::complain(before ? before.value().body : before.error().detail);
        return exit_code::Failed;
    }
    HttpHeaders headers = internal::authorization();
    headers.emplace_back("If-Match", std::string(before.value().head.header("ETag")));
    const Result<HttpAnswer> answer = internal::fetchNow({.address = internal::routerAddress(),
                                                          .method = "PUT",
                                                          .target = "/v1/config",
                                                          .headers = std::move(headers),
                                                          .body = *text});
    if (!answer) {
        internal::complain(answer.error().detail);
        return answer.error().verdict == Verdict::NotRun ? exit_code::Failed : exit_code::Unknown;
    }
    fmt::print("{}", answer.value().body);
    return answer.value().head.status == 200 ? exit_code::Ok : exit_code::Failed;
}

} // namespace catkinloft
