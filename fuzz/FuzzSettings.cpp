#include "Base/Inventory.h"
#include "Base/Settings.h"

#include <cstdint>
#include <string>

using namespace catkinloft;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string text(reinterpret_cast<const char *>(data) + 1, size - 1);
    YamlProblems problems;
    if (data[0] % 2 == 0)
        (void)Settings::parse(text, "settings.yaml", problems);
    else
        (void)Inventory::parse(text, "inventory.yaml", 1, problems);
    return 0;
}
