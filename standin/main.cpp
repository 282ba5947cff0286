#include "Base/Log.h"
#include "EngineStandin.h"
#include "FaultProxy.h"
#include "ObjectStandin.h"
#include "ReplicaStandin.h"
#include "RowStoreStandin.h"
#include "ServiceStandin.h"
#include "TableStandin.h"
#include "VmListStandin.h"
#include "WeightStandin.h"

#include <csignal>
#include <cstdio>

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9100", "address to listen on, IP:PORT");
DEFINE_string(name, "standin", "name in answers and logs");
DEFINE_int32(slots, 32, "engine: requests in one batch");
DEFINE_double(prefill_rate, 20000, "engine: prompt tokens per second");
DEFINE_double(token_ms, 5, "engine: milliseconds between two tokens of a request");
DEFINE_double(cache_tokens, 400000, "engine: capacity of the prefix cache in tokens");
DEFINE_double(batch_slowdown, 0.5, "engine: relative increase of the token time in a full batch");
DEFINE_double(event_lag_ms, 500, "engine: milliseconds until a cache event is visible");
DEFINE_double(load_lag_ms, 200, "engine: maximum age of a load report in milliseconds");
DEFINE_string(model, "", "engine: model at start");
DEFINE_bool(checks_fencing, false, "engine: refuses orders with an outdated fencing number");
DEFINE_int32(refuse_every, 0, "service: every N-th call is answered 503 and not executed; 0: none");
DEFINE_bool(recorded, true, "service: records every execution");
DEFINE_string(record_file, "", "engine, service, replica: executions are appended to this file");
DEFINE_double(writes_per_second, 500, "table, objects, weights, rowstore: rate limit of writes");
DEFINE_double(reads_per_second, 2000, "table, objects, weights, rowstore: rate limit of reads");
DEFINE_string(software_version, "",
              "replica: software version, which each event of a stream names");
DEFINE_int32(replica_slots, 0, "replica: requests that run at the same time; 0: no limit");
DEFINE_int32(replica_queue, 0, "replica: requests that wait for a slot");
DEFINE_string(control, "", "proxy: address of its control interface, IP:PORT");
DEFINE_string(target, "", "proxy: address that it forwards to, IP:PORT");
DEFINE_double(service_ms, 2, "service, replica: milliseconds from a call to its answer");
DEFINE_double(listen_after_ms, 0, "milliseconds from the start until the process listens");
DEFINE_double(lag_ms, 500, "vms: milliseconds until a change is visible");

namespace catkinloft::standin {

namespace {

using Factory = std::function<std::unique_ptr<Standin>(EventLoop &)>;

std::unique_ptr<Standin> makeEngine(EventLoop &loop)
{
    return std::make_unique<EngineStandin>(
            EngineStandin::Options{.loop = loop,
                                   .name = FLAGS_name,
                                   .model = FLAGS_model,
                                   .slots = FLAGS_slots,
                                   .prefillRate = FLAGS_prefill_rate,
                                   .tokenTime = fromSeconds(FLAGS_token_ms / 1000),
                                   .batchSlowdown = FLAGS_batch_slowdown,
                                   .cacheTokens = FLAGS_cache_tokens,
                                   .eventLag = fromSeconds(FLAGS_event_lag_ms / 1000),
                                   .loadLag = fromSeconds(FLAGS_load_lag_ms / 1000),
                                   .checksFencing = FLAGS_checks_fencing,
                                   .recordFile = FLAGS_record_file});
}

std::unique_ptr<Standin> makeService(EventLoop &loop)
{
    return std::make_unique<ServiceStandin>(
            ServiceStandin::Options{.loop = loop,
                                    .name = FLAGS_name,
                                    .serviceTime = fromSeconds(FLAGS_service_ms / 1000),
                                    .refuseEvery = FLAGS_refuse_every,
                                    .recorded = FLAGS_recorded,
                                    .recordFile = FLAGS_record_file});
}

template<typename T>
std::unique_ptr<Standin> makePlatform(EventLoop &loop)
{
    return std::make_unique<T>(PlatformStandin::Options{.loop = loop,
                                                        .writesPerSecond = FLAGS_writes_per_second,
                                                        .readsPerSecond = FLAGS_reads_per_second});
}

std::unique_ptr<Standin> makeReplica(EventLoop &loop)
{
    return std::make_unique<ReplicaStandin>(
            ReplicaStandin::Options{.loop = loop,
                                    .id = FLAGS_name,
                                    .version = FLAGS_software_version,
                                    .serviceTime = fromSeconds(FLAGS_service_ms / 1000),
                                    .slots = FLAGS_replica_slots,
                                    .queue = FLAGS_replica_queue,
                                    .recordFile = FLAGS_record_file});
}

std::unique_ptr<Standin> makeVmList(EventLoop &loop)
{
    return std::make_unique<VmListStandin>(loop, fromSeconds(FLAGS_lag_ms / 1000));
}

std::unique_ptr<Standin> makeProxy(EventLoop &loop)
{
    return std::make_unique<FaultProxy>(
            FaultProxy::Options{.loop = loop, .listen = FLAGS_listen, .target = FLAGS_target});
}

const std::map<std::string_view, Factory> &factories()
{
    static const std::map<std::string_view, Factory> all = {
            {"engine", &makeEngine},
            {"service", &makeService},
            {"table", &makePlatform<TableStandin>},
            {"objects", &makePlatform<ObjectStandin>},
            {"weights", &makePlatform<WeightStandin>},
            {"rowstore", &makePlatform<RowStoreStandin>},
            {"replica", &makeReplica},
            {"vms", &makeVmList},
            {"proxy", &makeProxy},
    };
    return all;
}

int runStandin(std::string_view role)
{
    std::signal(SIGPIPE, SIG_IGN);
    Log::setSource(FLAGS_name);
    EventLoop loop;
    const auto factory = factories().find(role);
    if (factory == factories().end()) {
        fmt::print(stderr, "catkinloft-standin: unknown role '{}'\n", role);
        return 2;
    }
    const std::unique_ptr<Standin> it = factory->second(loop);
    HttpServer server(loop,
                      {.address = role == "proxy" ? FLAGS_control : FLAGS_listen,
                       .limits = {.maxHeaderBytes = 128 * 1024, .maxBodyBytes = 64 * 1024 * 1024}},
                      [&](const HttpExchangePtr &exchange) { it->handle(exchange); });
    int exitCode = 0;
    const auto listen = [&] {
        if (const Result<void> result = server.listen(); !result) {
            Log::error("listen_failed", {{"detail", result.error().detail}});
            exitCode = 1;
            loop.stop();
        }
    };
    loop.after(fromSeconds(FLAGS_listen_after_ms / 1000), listen);
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.run();
    return exitCode;
}

} // namespace

} // namespace catkinloft::standin

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("engine|service|table|objects|weights|vms|rowstore|replica|proxy");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        fmt::print(stderr,
                   "usage: catkinloft-standin [flags] "
                   "engine|service|table|objects|weights|vms|rowstore|replica|proxy\n");
        return 2;
    }
    return catkinloft::standin::runStandin(argv[1]);
}
