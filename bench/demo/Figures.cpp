#include "Figures.h"

#include "Base/Log.h"

#include <fmt/format.h>

namespace catkinloft::demo {

void Figures::add(std::string name, double value, std::string unit)
{
    m_entries.push_back({std::move(name), value, std::move(unit)});
}

void Figures::print(bool json, const std::string &deployment) const
{
    for (const Entry &it : m_entries) {
        if (json) {
            fmt::print(R"({{"figure":{},"deployment":{},"value":{:.6g},"unit":{}}})"
                       "\n",
                       jsonQuoted(it.name), jsonQuoted(deployment), it.value, jsonQuoted(it.unit));
        } else {
            fmt::print("{:<28} {:>12.6g} {}\n", it.name, it.value, it.unit);
        }
    }
}

} // namespace catkinloft::demo
