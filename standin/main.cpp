#include "Base/Log.h"
#include "EngineStandin.h"
#include "ObjectStandin.h"
#include "ServiceStandin.h"
#include "TableStandin.h"
#include "VmListStandin.h"

#include <csignal>
#include <cstdio>

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9100", "address to listen on, IP:PORT");
DEFINE_string(name, "standin", "name in answers and logs");
DEFINE_int32(slots, 32, "engine: requests in one batch");
DEFINE_double(prefill_rate, 20000, "engine: prompt tokens read a second");
DEFINE_double(token_ms, 5, "engine: milliseconds between two tokens of a request");
DEFINE_double(cache_tokens, 400000, "engine: prompt tokens kept");
DEFINE_double(service_ms, 2, "service: milliseconds from a call to its answer");
DEFINE_double(lag_ms, 500, "vms: milliseconds until a change shows");

namespace catkinloft::standin {

namespace {

std::unique_ptr<Standin> makeStandin(std::string_view role, EventLoop &loop)
{
    if (role == "engine")
        return std::make_unique<EngineStandin>(
                EngineStandin::Options{.loop = loop,
                                       .name = FLAGS_name,
                                       .slots = FLAGS_slots,
                                       .prefillRate = FLAGS_prefill_rate,
                                       .tokenTime = fromSeconds(FLAGS_token_ms / 1000),
                                       .cacheTokens = FLAGS_cache_tokens});
    if (role == "service")
        return std::make_unique<ServiceStandin>(
                ServiceStandin::Options{.loop = loop,
                                        .name = FLAGS_name,
                                        .serviceTime = fromSeconds(FLAGS_service_ms / 1000)});
    if (role == "table")
        return std::make_unique<TableStandin>();
    if (role == "objects")
        return std::make_unique<ObjectStandin>();
    if (role == "vms")
        return std::make_unique<VmListStandin>(loop, fromSeconds(FLAGS_lag_ms / 1000));
    return nullptr;
}

int runStandin(std::string_view role)
{
    std::signal(SIGPIPE, SIG_IGN);
    Log::setSource(FLAGS_name);
    EventLoop loop;
    const std::unique_ptr<Standin> it = makeStandin(role, loop);
    if (!it) {
        fmt::print(stderr, "catkinloft-standin: no role '{}'\n", role);
        return 2;
    }
    HttpServer server(loop, {.address = FLAGS_listen, .limits = {.maxBodyBytes = 64 * 1024 * 1024}},
                      [&](const HttpExchangePtr &exchange) { it->handle(exchange); });
    if (const Result<void> result = server.listen(); !result) {
        Log::error("listen_failed", {{"detail", result.error().detail}});
        return 1;
    }
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

} // namespace catkinloft::standin

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("engine|service|table|objects|vms");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        fmt::print(stderr, "usage: catkinloft-standin [flags] engine|service|table|objects|vms\n");
        return 2;
    }
    return catkinloft::standin::runStandin(argv[1]);
}
