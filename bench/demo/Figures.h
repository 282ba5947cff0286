#pragma once

#include <string>
#include <vector>

namespace catkinloft::demo {

/// \brief The figures of the demo, printed as a table or as one JSON line per figure.
class Figures
{
public:
    void add(std::string name, double value, std::string unit);

    /// \param deployment name of the deployment, contained in each JSON line.
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
