#include "Control/OrderPlan.h"

#include "Base/Hash.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft {

std::string_view toString(OrderKind kind)
{
    switch (kind) {
    case OrderKind::LoadModel:
        return "load_model";
    case OrderKind::LoadAdapter:
        return "load_adapter";
    case OrderKind::SetVersion:
        return "set_version";
    case OrderKind::SetRole:
        return "set_role";
    }
    return "load_model";
}

std::size_t orderGroupOf(std::string_view name)
{
    return hash64(name) % OrderGroupCount;
}

std::string orderLeaseKey(std::size_t group)
{
    return fmt::format("lease/engines/{}", group);
}

namespace {

bool receivesRequests(const Engine &it)
{
    return it.role == "serve" && !it.leaving;
}

OrderStep loadStep(const Engine &wanted, std::string cause)
{
    return {.order = {.kind = OrderKind::LoadModel,
                      .model = wanted.model,
                      .version = wanted.version},
            .cause = std::move(cause),
            .needsWeights = true};
}

std::optional<OrderStep> versionStep(const Engine &wanted, const EngineState &state,
                                     std::string_view loadedVersion)
{
    if (wanted.version.empty() || wanted.version == state.version)
        return std::nullopt;
    std::string cause =
            fmt::format("runs version '{}', wanted '{}'", state.version, wanted.version);
    if (loadedVersion != wanted.version)
        return loadStep(wanted, std::move(cause));
    OrderStep out{.order = {.kind = OrderKind::SetVersion, .version = wanted.version},
                  .cause = std::move(cause)};
    if (!wanted.checksFencing && receivesRequests(wanted)) {
        out.withheld = true;
        out.cause +=
                "; the engine ignores fencing numbers: mark it leaving or standby to change it";
    }
    return out;
}

std::optional<OrderStep> adapterStep(const Engine &wanted, const EngineState &state)
{
    for (const std::string &it : wanted.adapters) {
        if (std::find(state.adapters.begin(), state.adapters.end(), it) == state.adapters.end())
            return OrderStep{.order = {.kind = OrderKind::LoadAdapter, .adapter = it},
                             .cause = fmt::format("adapter '{}' is missing", it),
                             .needsWeights = true};
    }
    return std::nullopt;
}

} // namespace

std::optional<OrderStep> nextOrderStep(const Engine &wanted, const EngineState &state,
                                       std::string_view loadedVersion)
{
    if (wanted.model != state.model)
        return loadStep(wanted,
                        fmt::format("has model '{}', wanted '{}'", state.model, wanted.model));
    auto version = versionStep(wanted, state, loadedVersion);
    if (version && !version->withheld)
        return version;
    if (auto adapter = adapterStep(wanted, state))
        return adapter;
    if (wanted.role != state.role)
        return OrderStep{
                .order = {.kind = OrderKind::SetRole, .role = wanted.role},
                .cause = fmt::format("has role '{}', wanted '{}'", state.role, wanted.role)};
    return version;
}

} // namespace catkinloft
