#include "RouterLog.h"

#include "Base/Json.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ctime>
#include <sstream>
#include <string_view>

namespace catkinloft::soak {

namespace {

using namespace std::chrono_literals;

/// Time after the deadline of a request in which its end must be logged.
constexpr auto EndGrace = 1s;

bool isEnd(std::string_view event)
{
    constexpr std::array<std::string_view, 5> Ends = {"request_answered", "request_refused",
                                                      "request_broken_off", "caller_gone",
                                                      "answer_cut"};
    return std::find(Ends.begin(), Ends.end(), event) != Ends.end();
}

/// \returns the time in \a text, such as 2026-01-31T12:00:00.123Z.
WallTime timeIn(const std::string &text)
{
    std::tm parts{};
    const char *rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (!rest || *rest != '.')
        return {};
    return WallTime(std::chrono::seconds(timegm(&parts))
                    + std::chrono::milliseconds(std::strtol(rest + 1, nullptr, 10)));
}

bool hasEvent(const std::string &line, std::string_view event)
{
    return line.find("\"event\":\"" + std::string(event) + '"') != std::string::npos;
}

} // namespace

RouterLog::RouterLog(const std::string &text)
{
    WallTime last = {};
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        // The last line of a killed process may be incomplete, with the next one behind it.
        if (hasEvent(line, "started"))
            endProcess(last);
        // Dropped lines may be ends of requests.
        if (hasEvent(line, "log_lines_dropped"))
            m_inProgress.clear();
        const Result<Json::Value> root = parseJsonObject(line);
        if (!root)
            continue;
        const std::string id = root.value()["request_id"].asString();
        if (id.empty())
            continue;
        // Other lines may belong to a process that has not logged its start yet.
        last = timeIn(root.value()["time"].asString());
        m_ids.insert(id);
        const std::string event = root.value()["event"].asString();
        const std::chrono::milliseconds left(root.value()["remaining_ms"].asInt64());
        if (event == "request_sent") {
            m_inProgress.try_emplace(id, Sent{.id = id, .at = last, .deadline = last + left});
            m_sendings.push_back({.id = id,
                                  .service = root.value()["service"].asString(),
                                  .replica = root.value()["replica"].asString(),
                                  .cause = root.value()["cause"].asString(),
                                  .at = last});
        } else if (isEnd(event)) {
            m_inProgress.erase(id);
        }
    }
    endProcess(last);
    std::sort(m_unended.begin(), m_unended.end(),
              [](const Sent &a, const Sent &b) { return a.at < b.at; });
}

void RouterLog::endProcess(WallTime lastLine)
{
    for (const auto &[id, it] : m_inProgress) {
        if (lastLine > it.deadline + EndGrace)
            m_unended.push_back(it);
    }
    m_inProgress.clear();
}

} // namespace catkinloft::soak
