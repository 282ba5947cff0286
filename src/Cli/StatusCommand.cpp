#include "Base/Json.h"
#include "Cli/Command.h"
#include "Cli/Commands.h"
#include "Cli/internal/Tools.h"

#include <chrono>
#include <thread>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <json/json.h>

DEFINE_bool(json, false, "status: the report as JSON");
DEFINE_bool(watch, false, "status: again every two seconds until interrupted");

namespace catkinloft {

namespace {

constexpr std::chrono::seconds WatchPeriod{2};
constexpr std::string_view ClearScreen = "\x1b[H\x1b[2J";

void printRouters(const Json::Value &report)
{
    fmt::print("\n{:<20} {:<22} {:<16} {:<8} {:>9}\n", "ROUTER", "ADDRESS", "FAILURE DOMAIN",
               "STATE", "REVISION");
    for (const Json::Value &it : report["routers"])
        fmt::print("{:<20} {:<22} {:<16} {:<8} {:>9}\n", it["name"].asString(),
                   it["address"].asString(), it["failure_domain"].asString(),
                   it["leaving"].asBool() ? "leaving" : "live", it["revision"].asUInt64());
}

void printUpstreams(const Json::Value &report)
{
    fmt::print("\n{:<24} {:<16} {:<8} {:>10} {:>10}\n", "UPSTREAM", "POOL", "STATE", "WORK",
               "BOUND");
    for (const Json::Value &it : report["upstreams"])
        fmt::print("{:<24} {:<16} {:<8} {:>10.0f} {:>10.0f}\n", it["name"].asString(),
                   it["pool"].asString(), it["state"].asString(), it["work"].asDouble(),
                   it["bound"].asDouble());
}

void printReport(const Json::Value &report)
{
    fmt::print("router {}: revision {}, {} requests in progress, table service last heard {}\n",
               report["router"].asString(), report["revision"].asUInt64(),
               report["in_progress"].asUInt64(),
               report["store_age_ms"].asInt64() < 0
                       ? std::string("never")
                       : fmt::format("{:.1f} s ago", report["store_age_ms"].asDouble() / 1000));
    printRouters(report);
    printUpstreams(report);
    fmt::print("\n{:<32} {:>8}\n", "REFUSED FOR", "COUNT");
    for (const Json::Value &it : report["refusals"])
        fmt::print("{:<32} {:>8}\n", it["reason"].asString(), it["count"].asUInt64());
}

int showOnce()
{
    const Result<Json::Value> report = internal::fetchJson("/v1/status");
    if (!report) {
        internal::printError(report.error().detail);
        return exit_code::Failed;
    }
    if (FLAGS_json) {
        fmt::print("{}\n", Json::writeString(Json::StreamWriterBuilder(), report.value()));
        return exit_code::Ok;
    }
    const Result<void> printed = readJson<void>(report.value(), Reason::Internal,
                                                [](const Json::Value &it) -> Result<void> {
                                                    printReport(it);
                                                    return outcome::success();
                                                });
    if (printed)
        return exit_code::Ok;
    internal::printError(printed.error().detail);
    return exit_code::Failed;
}

} // namespace

int runStatus(std::span<char *const>)
{
    int code = showOnce();
    while (FLAGS_watch) {
        std::fflush(stdout);
        std::this_thread::sleep_for(WatchPeriod);
        fmt::print("{}", ClearScreen);
        code = showOnce();
    }
    return code;
}

} // namespace catkinloft
