#include "Base/Inventory.h"
#include "Base/Settings.h"
#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/Tools.h"
#include "Net/TlsContext.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

void checkTls(const std::shared_ptr<const Settings> &settings, const std::string &path,
              YamlProblems &problems)
{
    if (!settings)
        return;
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    for (std::string &it : tlsProblems(settings->tls, now))
        problems.push_back({.file = path, .line = 0, .key = "tls", .message = std::move(it)});
}

/// A file with a peer address is a router's settings, any other an inventory.
void checkFile(const std::string &path, YamlProblems &problems)
{
    const auto text = internal::readFile(path);
    if (!text) {
        problems.push_back({.file = path, .line = 0, .key = {}, .message = "can not be read"});
        return;
    }
    YamlProblems ignored;
    const auto root = parseYaml(*text, path, ignored);
    const bool isSettings = root && ((*root)["peer_address"] || (*root)["caller_address"]);
    if (isSettings)
        checkTls(Settings::parse(*text, path, problems), path, problems);
    else
        Inventory::parse(*text, path, 1, problems);
}

} // namespace

int runCheck(std::span<char *const> arguments)
{
    if (arguments.empty()) {
        internal::complain("usage: catkinloft check FILE...");
        return exit_code::Usage;
    }
    YamlProblems problems;
    for (const char *it : arguments)
        checkFile(it, problems);
    for (const YamlProblem &it : problems)
        fmt::print(stderr, "{}\n", it.text());
    return problems.empty() ? exit_code::Ok : exit_code::Usage;
}

} // namespace catkinloft
