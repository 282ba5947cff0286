#include "AtMostOnceLoad.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <set>
#include <span>
#include <sstream>
#include <vector>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace catkinloft {

using namespace std::chrono_literals;
using standin::EntryFleet;

namespace {

constexpr std::size_t MaxRecords = 5; ///< Requests whose records a failure prints.

/// \returns what the routers logged and the replicas recorded of request \a id.
std::string recordOf(const EntryFleet &fleet, const std::string &id)
{
    std::string out;
    for (std::size_t i = 0; i < fleet.routerCount(); ++i) {
        std::istringstream log(fleet.routerLog(i));
        for (std::string line; std::getline(log, line);) {
            if (line.find(fmt::format("\"{}\"", id)) != std::string::npos)
                out += line + "\n";
        }
    }
    for (const Json::Value &it : fleet.arrivals()) {
        if (it["id"].asString() == id)
            out += it.toStyledString();
    }
    return out;
}

} // namespace

void AtMostOnceLoad::run(const std::atomic<bool> &isDone)
{
    m_timer.startRepeating(SendInterval);
    Timer end(m_loop, [&] {
        if (isDone)
            m_timer.stop();
        if (isDone && m_pending == 0)
            m_loop.stop();
    });
    end.startRepeating(50ms);
    m_loop.run();
}

void AtMostOnceLoad::send()
{
    static const std::array<std::string, 4> paths = {"/once/a", "/whole/a?events=6", "/once/b",
                                                     "/whole/a?events=40"};
    const std::string id = fmt::format("m{}", ++m_sent);
    ++m_pending;
    m_client.fetch({.address = m_fleet.callerAddress(m_sent % m_fleet.routerCount()),
                    .method = "POST",
                    .target = paths[m_sent / m_fleet.routerCount() % paths.size()],
                    .headers = {{"Host", EntryFleet::Host},
                                {"X-Request-Id", id},
                                {"X-Request-Deadline", "2500"},
                                {"Authorization", std::string("Bearer ") + EntryFleet::Key}},
                    .body = id,
                    .timeout = 3s,
                    .freshConnection = m_usesNewConnections},
                   [this, id](const Result<HttpAnswer> &answer) {
                       m_statuses[id] = answer ? answer.value().head.status : 0;
                       --m_pending;
                   });
}

std::map<int, int> requireAtMostOnceRun(const EntryFleet &fleet,
                                        const std::map<std::string, int> &statuses)
{
    const std::set<int> promises = {408, 421, 429, 503};
    std::map<std::string, int> runs;
    for (const Json::Value &it : fleet.executions())
        ++runs[it["id"].asString()];
    std::map<int, int> counts;
    std::vector<std::string> twice;
    std::vector<std::string> refused;
    for (const auto &[id, status] : statuses) {
        ++counts[status];
        const auto it = runs.find(id);
        const int n = it == runs.end() ? 0 : it->second;
        if (n > 1)
            twice.push_back(id);
        if (n > 0 && promises.contains(status))
            refused.push_back(id);
    }
    std::size_t relayed = 0;
    for (std::size_t i = 0; i < fleet.routerCount(); ++i)
        relayed += fleet.routerLog(i).find("\"relay\":\"router") != std::string::npos ? 1 : 0;
    MESSAGE(fmt::format("{} requests, by status {}; {} ran, {} twice, {} refused and ran; {} "
                        "routers relayed",
                        statuses.size(), counts, runs.size(), twice.size(), refused.size(),
                        relayed));
    std::string lines;
    for (const std::vector<std::string> *it : {&twice, &refused}) {
        for (const std::string &id : std::span(*it).first(std::min(it->size(), MaxRecords)))
            lines += recordOf(fleet, id);
    }
    INFO("ran twice: ", fmt::format("{}", twice));
    INFO("refused and ran: ", fmt::format("{}", refused));
    INFO(lines);
    CHECK(twice.empty());
    CHECK(refused.empty());
    return counts;
}

} // namespace catkinloft
