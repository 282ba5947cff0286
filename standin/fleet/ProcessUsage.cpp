#include "fleet/ProcessUsage.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>

#include <fmt/format.h>
#include <unistd.h>

namespace catkinloft::standin {

namespace {

/// Number of fields of /proc/PID/stat between the name and the user time.
constexpr int FieldsBeforeTimes = 11;

constexpr std::string_view PeakField = "VmHWM:"; ///< In KiB, see proc(5).
constexpr double KibiByte = 1024;
constexpr std::string_view ListeningState = "0A"; ///< In /proc/net/tcp.

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

double peakResidentBytes(pid_t pid)
{
    std::ifstream in(fmt::format("/proc/{}/status", pid));
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(PeakField))
            return std::stod(line.substr(PeakField.size())) * KibiByte;
    }
    return 0;
}

int openSockets(pid_t pid)
{
    namespace fs = std::filesystem;
    std::error_code ec;
    int out = 0;
    for (const fs::directory_entry &it :
         fs::directory_iterator(fmt::format("/proc/{}/fd", pid), ec)) {
        const std::string target = fs::read_symlink(it.path(), ec).string();
        out += target.starts_with("socket:") || target.starts_with("pipe:") ? 1 : 0;
    }
    return out;
}

double unreadBytes(std::uint16_t port)
{
    std::ifstream in("/proc/net/tcp");
    const std::string suffix = fmt::format(":{:04X}", port);
    double out = 0;
    for (std::string line; std::getline(in, line);) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> local >> remote >> state >> queues;
        // The queue of a listening socket is counted in connections.
        if (!local.ends_with(suffix) || state == ListeningState)
            continue;
        out += static_cast<double>(std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16));
    }
    return out;
}

} // namespace catkinloft::standin
