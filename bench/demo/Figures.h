#pragma once

#include <string>
#include <vector>

namespace catkinloft::demo {

/// \brief What the demo prints: a table for a person or one JSON line a figure.
class Figures
{
public:
    void add(std::string name, double value, std::string unit);

    /// \param deployment named in each JSON line.
    void print(bool json, const std::string &deployment) const;

private:
    struct Entry
    {
        std::string name;
        double value;
        std::string unit;
    };

    std::vector<Entry> m_entries;
};

} // namespace catkinloft::demo
