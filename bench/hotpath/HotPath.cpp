#include "HotPath.h"

#include <filesystem>

#include <fmt/format.h>

namespace catkinloft::bench {

using standin::Fleet;

namespace {

standin::Deployment minimalDeployment()
{
    standin::Deployment out = standin::deploymentNamed("sofiyska");
    out.engines = 1;
    out.replicas = 1;
    out.routers = 1;
    return out;
}

} // namespace

HotPath::HotPath(double tokenMs)
    : m_fleet({.deployment = minimalDeployment(),
               .binaries = std::filesystem::canonical("/proc/self/exe").parent_path().string(),
               .engineFlags = {"--slots=100000", "--prefill_rate=1e12",
                               fmt::format("--token_ms={}", tokenMs)},
               .serviceFlags = {"--service_ms=0"}})
{
    m_fleet.start();
    // Enough slots for every request, so that admission control does not affect the measurement.
    std::string inventory = m_fleet.inventory();
    const std::size_t at = inventory.find("model: planning");
    inventory.insert(at, "slots: 4096, ");
    m_fleet.apply(inventory);
}

HttpCall HotPath::make(const std::string &address, const std::string &kind, int tokens) const
{
    HttpCall call{.address = address,
                  .method = "PUT", // Idempotent according to the inventory: needs no claim.
                  .target = "/services/dispatch/orders",
                  .headers = {{"Authorization", "Bearer " + Fleet::workspaceKey(0)}},
                  .body = R"({"order":1})",
                  .timeout = std::chrono::minutes(5)};
    if (kind == "call")
        return call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.body = fmt::format(R"({{"model":"{}","max_tokens":{},"stream":{},"messages":)"
                            R"([{{"role":"user","content":"a plan, please"}}]}})",
                            m_fleet.deployment().model, tokens, kind == "stream");
    return call;
}

HttpCall HotPath::routed(const std::string &kind, int tokens) const
{
    return make(m_fleet.routerAddress(0), kind, tokens);
}

HttpCall HotPath::direct(const std::string &kind, int tokens) const
{
    HttpCall call = make(kind == "call" ? m_fleet.replicaAddress(0) : m_fleet.engineAddress(0),
                         kind, tokens);
    call.headers.emplace_back("X-Request-Id", "direct");
    return call;
}

} // namespace catkinloft::bench
