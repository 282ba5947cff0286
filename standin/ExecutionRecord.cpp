#include "ExecutionRecord.h"

#include "Base/Json.h"

namespace catkinloft::standin {

ExecutionRecord::ExecutionRecord(const std::string &file)
{
    if (!file.empty())
        m_out.open(file, std::ios::app);
}

void ExecutionRecord::add(const Json::Value &execution)
{
    // Flushed after each record, since tests kill the process at any time.
    if (m_out.is_open())
        m_out << printJson(execution) + "\n" << std::flush;
}

} // namespace catkinloft::standin
