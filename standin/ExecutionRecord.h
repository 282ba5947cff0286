#pragma once

#include <fstream>
#include <string>

#include <json/json.h>

namespace catkinloft::standin {

/// \brief Appends the executions of a stand-in to a file, one JSON object per line. The file
/// remains when the process terminates.
class ExecutionRecord
{
public:
    /// \param file path; nothing is recorded if it is empty.
    explicit ExecutionRecord(const std::string &file);

    void add(const Json::Value &execution);

private:
    std::ofstream m_out;
};

} // namespace catkinloft::standin
