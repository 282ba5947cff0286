#pragma once

#include "Base/Clock.h"
#include "Base/Inventory.h"
#include "Base/Verdict.h"
#include "Decide/Job.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace catkinloft {

enum class RequestKind {
    Chat, ///< A completion by a model engine.
    Call, ///< A call of a plain service.
    Resume, ///< The rest of a stream that the caller lost its connection to.
};

/// \brief One request on its way through the filter chain; each filter adds what it finds out.
struct RequestContext
{
    // From the listener.
    std::string method;
    std::string path; ///< Without the query.
    std::string query;
    std::string_view body; ///< Valid until the answer is complete.
    std::function<std::string_view(const char *)> header; ///< Empty where it is missing.
    TimePoint receivedAt;

    // From IdentifyFilter.
    RequestKind kind = RequestKind::Chat;
    std::string id; ///< The caller's, or made here.
    TimePoint deadline;
    std::string model;
    bool streamed = false;
    std::uint64_t chatKey = 0;
    std::string chat; ///< Name by which an engine keeps its context.
    double work = 1; ///< Estimate in tokens.
    std::string service;
    bool idempotent = true; ///< Whether it may be sent twice.
    std::string idempotencyKey;
    std::int64_t lastEventId = -1; ///< Last token that a resuming caller has.
    int hops = 0; ///< Routers that it has passed through.

    // From AuthenticateFilter.
    InventoryPtr inventory; ///< One revision for the whole request.
    const Workspace *workspace = nullptr;

    // From the attempts.
    Verdict verdict = Verdict::NotRun; ///< Of all attempts together.
    int attempts = 0;
};

using RequestPtr = std::shared_ptr<RequestContext>;

} // namespace catkinloft
