#include "Cli/internal/CheckFile.h"

#include "Base/Inventory.h"
#include "Base/Settings.h"
#include "Cli/internal/Tools.h"
#include "Net/TlsContext.h"

namespace catkinloft::internal {

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

} // namespace

void checkFile(const std::string &path, YamlProblems &problems)
{
    const auto text = readFile(path);
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

} // namespace catkinloft::internal
