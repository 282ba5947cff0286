#pragma once

#include <fstream>
#include <string>

#include <json/json.h>

namespace catkinloft::standin {

/// \brief What a stand-in executed, one JSON line each, in a file that outlives its process.
class ExecutionRecord
{
public:
    /// \param file empty: nothing is recorded.
    explicit ExecutionRecord(const std::string &file);

    void add(const Json::Value &execution);

private:
    std::ofstream m_out;
};

} // namespace catkinloft::standin
