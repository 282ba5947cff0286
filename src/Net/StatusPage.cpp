#include "Net/StatusPage.h"

#include "Base/Log.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

constexpr int ReloadSeconds = 5;

constexpr std::string_view Style =
        "body{font:1rem/1.5 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;"
        "color:#111;background:#fff}"
        "table{border-collapse:collapse;width:100%;margin:1.5rem 0}"
        "caption{text-align:left;font-weight:bold;font-size:1.15rem;padding:.25rem 0}"
        "th,td{text-align:left;padding:.3rem .6rem;border-bottom:1px solid #767676}"
        "td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}"
        "meter{width:8rem}";

/// \returns \a text with markup characters escaped, for use between tags and in attribute values.
std::string escaped(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

struct Column
{
    std::string_view title;
    bool isNumber = false;
};

/// \returns an HTML table; the cells in \a rows must be escaped already.
std::string table(std::string_view caption, std::initializer_list<Column> columns,
                  const std::vector<std::vector<std::string>> &rows)
{
    std::string out = fmt::format("<table><caption>{}</caption><thead><tr>", caption);
    for (const Column &it : columns)
        out += fmt::format("<th scope=\"col\"{}>{}</th>", it.isNumber ? " class=\"n\"" : "",
                           it.title);
    out += "</tr></thead><tbody>";
    for (const auto &row : rows) {
        out += "<tr>";
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool isNumber = (columns.begin() + i)->isNumber;
            out += i == 0 ? fmt::format("<th scope=\"row\">{}</th>", row[i])
                          : fmt::format("<td{}>{}</td>", isNumber ? " class=\"n\"" : "", row[i]);
        }
        out += "</tr>";
    }
    if (rows.empty())
        out += fmt::format("<tr><td colspan=\"{}\">none</td></tr>", columns.size());
    return out + "</tbody></table>\n";
}

std::string routersTable(const StatusReport &report)
{
    std::vector<std::vector<std::string>> rows;
    for (const auto &[it, revision] : report.routers)
        rows.push_back({escaped(it.name), escaped(it.callerAddress), escaped(it.failureDomain),
                        it.leaving ? "leaving" : "live", fmt::format("{}", revision),
                        fmt::format("{:.0f}", it.load)});
    return table("Routers",
                 {{"Name"},
                  {"Address"},
                  {"Failure domain"},
                  {"State"},
                  {"Revision", true},
                  {"Requests", true}},
                 rows);
}

std::string confirmedText(const StatusReport &report)
{
    if (!report.storeAge)
        return "not confirmed by the table service yet";
    return fmt::format("confirmed by the table service {:.1f} s ago", toSeconds(*report.storeAge));
}

std::string_view upstreamState(const StatusReport::Upstream &it)
{
    return it.leaving ? "leaving" : it.ejected ? "ejected" : "serving";
}

std::string upstreamsTable(const StatusReport &report)
{
    std::vector<std::vector<std::string>> rows;
    for (const StatusReport::Upstream &it : report.upstreams) {
        const double share = it.bound > 0 ? it.work / it.bound : 0;
        rows.push_back({escaped(it.name), escaped(it.pool), std::string(upstreamState(it)),
                        fmt::format("{:.0f}", it.work), fmt::format("{:.0f}", it.bound),
                        fmt::format("<meter min=\"0\" max=\"1\" high=\"0.9\" value=\"{0:.2f}\">"
                                    "{1:.0f}%</meter> {1:.0f}%",
                                    share, share * 100)});
    }
    return table("Engines and replicas: load against the bound",
                 {{"Name"}, {"Pool"}, {"State"}, {"Work", true}, {"Bound", true}, {"Share", true}},
                 rows);
}

std::string workspacesTable(const StatusReport &report)
{
    std::vector<std::vector<std::string>> rows;
    for (const StatusReport::WorkspaceLoad &it : report.workspaces)
        rows.push_back({escaped(it.name), it.isProtected ? "protected" : "",
                        fmt::format("{}", it.inProgress)});
    return table("Workspaces", {{"Name"}, {"Rule"}, {"In progress", true}}, rows);
}

std::string refusalsTable(const StatusReport &report)
{
    std::vector<std::vector<std::string>> rows;
    for (const StatusReport::Count &it : report.refusals)
        rows.push_back({escaped(it.reason), fmt::format("{}", it.n)});
    return table("Refusals by reason, since the router started", {{"Reason"}, {"Count", true}},
                 rows);
}

/// \returns a JSON array of the entries of \a list, each formatted by \a print.
template<typename List, typename Print>
std::string jsonList(const List &list, Print print)
{
    std::string out;
    for (const auto &it : list)
        out += (out.empty() ? "" : ",") + print(it);
    return "[" + out + "]";
}

std::string routerJson(const StatusReport::Router &router)
{
    const RouterView &it = router.view;
    return fmt::format(R"({{"name":{},"address":{},"failure_domain":{},"leaving":{},)"
                       R"("revision":{},"load":{}}})",
                       jsonQuoted(it.name), jsonQuoted(it.callerAddress),
                       jsonQuoted(it.failureDomain), it.leaving, router.revision, it.load);
}

std::string upstreamJson(const StatusReport::Upstream &it)
{
    return fmt::format(R"({{"name":{},"pool":{},"state":"{}","work":{},"bound":{}}})",
                       jsonQuoted(it.name), jsonQuoted(it.pool), upstreamState(it), it.work,
                       it.bound);
}

std::string workspaceJson(const StatusReport::WorkspaceLoad &it)
{
    return fmt::format(R"({{"name":{},"in_progress":{},"protected":{}}})", jsonQuoted(it.name),
                       it.inProgress, it.isProtected);
}

} // namespace

std::string printStatusJson(const StatusReport &report)
{
    const std::string refusals = jsonList(report.refusals, [](const StatusReport::Count &it) {
        return fmt::format(R"({{"reason":{},"count":{}}})", jsonQuoted(it.reason), it.n);
    });
    const std::int64_t age = report.storeAge ? report.storeAge->count() / 1'000'000 : -1;
    return fmt::format(R"({{"router":{},"revision":{},"store_age_ms":{},"in_progress":{},)"
                       R"("routers":{},"upstreams":{},"workspaces":{},"refusals":{}}})"
                       "\n",
                       jsonQuoted(report.router), report.revision, age, report.inProgress,
                       jsonList(report.routers, routerJson),
                       jsonList(report.upstreams, upstreamJson),
                       jsonList(report.workspaces, workspaceJson), refusals);
}

std::string printStatusPage(const StatusReport &report)
{
    return fmt::format("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                       "<meta name=\"viewport\" content=\"width=device-width\">"
                       "<meta http-equiv=\"refresh\" content=\"{}\">"
                       "<title>{} - catkinloft</title><style>{}</style></head><body><main>"
                       "<h1>Router {}</h1>\n<p>Configuration revision <strong>{}</strong>, "
                       "{}. {} requests in progress.</p>\n{}{}{}{}"
                       "</main></body></html>\n",
                       ReloadSeconds, escaped(report.router), Style, escaped(report.router),
                       report.revision, confirmedText(report), report.inProgress,
                       routersTable(report), upstreamsTable(report), workspacesTable(report),
                       refusalsTable(report));
}

} // namespace catkinloft
