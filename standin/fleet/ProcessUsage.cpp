#include "fleet/ProcessUsage.h"

#include <fstream>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <unistd.h>

namespace catkinloft::standin {

namespace {

/// Number of fields of /proc/PID/stat between the name and the user time.
constexpr int FieldsBeforeTimes = 11;

} // namespace

Duration processorTime(pid_t pid)
{
    std::ifstream in(fmt::format("/proc/{}/stat", pid));
    std::string text;
    std::getline(in, text);
    // The name may contain closing parentheses, so it ends at the last one.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < FieldsBeforeTimes; ++i)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return fromSeconds(static_cast<double>(user + system)
                       / static_cast<double>(sysconf(_SC_CLK_TCK)));
}

double residentBytes(pid_t pid)
{
    std::ifstream in(fmt::format("/proc/{}/statm", pid));
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace catkinloft::standin
