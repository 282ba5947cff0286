#pragma once

#include "Control/ReplicaRegistry.h"
#include "Net/EntryGateway.h"
#include "Net/EventLoop.h"
#include "Net/HttpServer.h"
#include "Net/RequestEvent.h"
#include "ProcessPort.h"
#include "RawCaller.h"
#include "ScriptedReplica.h"
#include "platform/RequestCodec.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <unistd.h>

namespace catkinloft {

using namespace std::chrono_literals;

inline RouteConfigPtr makeConfig()
{
    auto out = std::make_shared<RouteConfig>();
    out->revision = 1;
    const Route base{.host = "h.example", .maxAttempts = 2, .timeout = 2s, .targets = {{"svc"}}};
    const auto add = [&](const char *prefix, CallKind kind, bool resumable, int attempts) {
        Route it = base;
        it.name = it.pathPrefix = prefix;
        it.kind = kind;
        it.resumable = resumable;
        it.maxAttempts = attempts;
        it.maxEventGap = 100ms;
        out->routes.push_back(it);
    };
    add("/safe/", CallKind::Idempotent, false, 2);
    add("/once/", CallKind::NonIdempotent, false, 2);
    add("/stream/", CallKind::Streaming, true, 2);
    add("/whole/", CallKind::Streaming, false, 2);
    add("/brief/", CallKind::NonIdempotent, false, 1);
    out->routes.back().timeout = 150ms;
    out->services = {{.name = "svc"}};
    out->workspaces = {{.name = "archive", .apiKeys = {"key"}}};
    return out;
}

/// The gateway of an entry VM in front of scripted replicas.
struct EntryGatewayFixture
{
    EntryGatewayFixture() { REQUIRE(server.listen()); }

    void addReplica(ScriptedReplica::Script script, const std::string &softwareVersion = {})
    {
        replicas.push_back(std::make_unique<ScriptedReplica>(loop, std::move(script)));
        records.push_back({.id = fmt::format("i-{}", replicas.size()),
                           .service = "svc",
                           .address = replicas.back()->address(),
                           .version = softwareVersion,
                           .slots = 4});
        publishReplicas();
    }

    /// Publishes the replicas from the store again, without the states that answers reported.
    void publishReplicas()
    {
        registry.apply({.position = {.version = ++version}, .replicas = records}, loop.now());
        pools.setReplicas(registry.replicas());
    }

    void addUnreachable()
    {
        records.push_back(
                {.id = "i-gone", .service = "svc", .address = "127.0.0.1:1", .slots = 64});
        publishReplicas();
    }

    static std::string get(const std::string &path, const std::string &headers = {})
    {
        return request("GET", path, headers, {});
    }

    static std::string request(const std::string &method, const std::string &path,
                               const std::string &headers, const std::string &body)
    {
        std::string out = fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n"
                                      "Authorization: Bearer key\r\n{}",
                                      method, path, headers);
        if (!body.empty())
            out += fmt::format("Content-Length: {}\r\n", body.size());
        return out + "\r\n" + body;
    }

    /// \returns the request \a bytes with \a id in place of the usual one.
    static std::string withId(std::string bytes, const std::string &id)
    {
        const std::string_view header = "X-Request-Id: ";
        const std::size_t begin = bytes.find(header) + header.size();
        return bytes.replace(begin, bytes.find('\r', begin) - begin, id);
    }

    bool until(const std::function<bool()> &condition, int turns = 4000)
    {
        for (int i = 0; i < turns; ++i) {
            loop.runOnce();
            if (condition())
                return true;
            usleep(1000);
        }
        return false;
    }

    /// \returns what the caller receives until it contains \a text or the connection is closed.
    std::string call(RawCaller &caller, const std::string &bytes, const std::string &text)
    {
        caller.received.clear();
        caller.send(bytes);
        closed = false;
        until([&] {
            closed = caller.read();
            return closed || caller.received.find(text) != std::string::npos;
        });
        return caller.received;
    }

    /// Sends the second and last event on all open connections of replicas.
    void finishStreams()
    {
        for (const auto &it : replicas)
            it->sendUnsolicited(ScriptedReplica::events(2, 2) + ScriptedReplica::streamEnd());
    }

    std::size_t sent() const
    {
        std::size_t n = 0;
        for (const auto &it : replicas)
            n += it->requests().size();
        return n;
    }

    inline static const std::uint16_t Port = processPort(0);

    EventLoop loop;
    Metrics metrics;
    HttpClient client{loop};
    EntrySettings settings{.fleetRetryShare = 0, .fleetRetrySlack = 100};
    WireCodec codec = platform::makeWireCodec();
    std::shared_ptr<const RouteTable> routes = std::make_shared<RouteTable>(makeConfig());
    Duration proofAge = 0s;
    EntryFilters filters{
            {.routes = [this] { return routes; }, .proofAge = [this] { return proofAge; }}};
    ServicePools pools{loop, seededRandom(1), settings};
    ReplicaRegistry registry{{.clock = loop}};
    std::uint64_t version = 0;
    RequestQuarantine quarantine{{.clock = loop, .random = seededRandom(3)}};
    CrashWatch::Finding finding = CrashWatch::Finding::Crashed;
    CrashWatch crashes{
            {.loop = loop,
             .metrics = metrics,
             .confirm = [this](const std::string &,
                               const std::function<void(CrashWatch::Finding)> &done,
                               const std::function<void()> &) { done(finding); },
             .attemptCrashed =
                     [this](const CrashWatch::BrokenAttempt &it, TimePoint crashedAt) {
                         quarantine.replicaCrashed(it.suspects, it.replica, it.software, crashedAt);
                     },
             .replicaCrashed = [this](const std::string &it) { pools.noteCrashed(it, 3s); }}};
    bool isShuttingDown = false;
    bool isNextToThrow = false; ///< Whether handling the next request throws.
    TimePoint stopsAt = TimePoint::max();
    /// Software that began the streams which callers resume; by default that of all replicas.
    std::optional<std::string> origin = "svc ";
    std::vector<StreamOriginQuestion> questions;
    std::vector<StreamOrigin> begun;
    /// Declared before the gateway, whose calls report until it is destroyed.
    std::vector<RequestEvent> events;
    EntryGateway gateway{
            {.loop = loop,
             .client = client,
             .metrics = metrics,
             .settings = settings,
             .codec = codec,
             .filters = filters,
             .pools = pools,
             .quarantine = quarantine,
             .crashes = crashes,
             .random = seededRandom(2),
             .sharingRouters = [] { return 1; },
             .isShuttingDown =
                     [this] {
                         if (std::exchange(isNextToThrow, false))
                             throw std::runtime_error("not handled");
                         return isShuttingDown;
                     },
             .stopsAt = [this] { return stopsAt; },
             .replicaLeaving =
                     [this](const std::string &it) {
                         registry.markLeaving(it, ReplicaRegistry::LeavingSource::Answer);
                         pools.setReplicas(registry.replicas());
                     },
             .replicaLeavingAt =
                     [this](const std::string &address, const std::string &id) {
                         registry.markLeavingAt(address, id);
                         pools.setReplicas(registry.replicas());
                     },
             .findStreamOrigin =
                     [this](const StreamOriginQuestion &question, const auto &found) {
                         questions.push_back(question);
                         found(origin);
                     },
             .streamBegan = [this](const StreamOrigin &it,
                                   const StreamOriginQuestion &) { begun.push_back(it); },
             .report = [this](const RequestEvent &it) { events.push_back(it); }}};
    HttpServer server{loop,
                      {.address = fmt::format("127.0.0.1:{}", Port)},
                      [this](const HttpExchangePtr &it) { gateway.handle(it); }};
    std::vector<std::unique_ptr<ScriptedReplica>> replicas;
    std::vector<ReplicaRecord> records;
    bool closed = false;
};

inline ScriptedReplica::Reply ok(const std::string &request, std::size_t)
{
    return {.bytes = ScriptedReplica::answer(request, 200, "fine")};
}

} // namespace catkinloft
