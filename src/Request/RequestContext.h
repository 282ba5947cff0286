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
    Chat, ///< A chat completion by an engine.
    Call, ///< A call of a plain service.
    Resume, ///< The rest of a stream whose connection to the caller broke.
};

/// \brief State of a request in the filter chain. Each filter adds its results.
struct RequestContext
{
    // Set by the listener.
    std::string method;
    std::string path; ///< Without the query.
    std::string query;
    std::string_view body; ///< Valid until the answer is complete.
    std::function<std::string_view(const char *)> header; ///< Returns an empty text if missing.
    TimePoint receivedAt;

    // Set by IdentifyFilter.
    RequestKind kind = RequestKind::Chat;
    std::string id; ///< The caller's, or generated.
    TimePoint deadline;
    std::string model;
    bool streamed = false;
    std::uint64_t chatKey = 0;
    std::string chat; ///< Name by which an engine caches the chat's context.
    double work = 1; ///< Estimate in tokens.
    std::string service;
    bool idempotent = true; ///< Whether the request may be executed twice.
    std::string idempotencyKey;
    std::int64_t lastEventId = -1; ///< Last event that a resuming caller has; -1 if none.
    int hops = 0; ///< Number of routers that forwarded the request.

    // Set by AuthenticateFilter.
    InventoryPtr inventory; ///< The same revision during the whole request.
    const Workspace *workspace = nullptr;

    // Set by the attempts.
    Verdict verdict = Verdict::NotRun; ///< Combined verdict of all attempts.
    int attempts = 0;
};

using RequestPtr = std::shared_ptr<RequestContext>;

} // namespace catkinloft
