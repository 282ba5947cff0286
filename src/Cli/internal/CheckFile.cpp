#include "Cli/internal/CheckFile.h"

#include "Base/Inventory.h"
#include "Base/Settings.h"
#include "Cli/internal/Tools.h"

namespace catkinloft::internal {

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
        Settings::parse(*text, path, problems);
    else
        Inventory::parse(*text, path, 1, problems);
}

} // namespace catkinloft::internal
