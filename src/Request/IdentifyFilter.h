#pragma once

#include "Base/Random.h"
#include "Request/FilterChain.h"

namespace catkinloft {

/// \brief Names of the headers that routers read and write.
namespace headers {
inline constexpr const char *Authorization = "Authorization";
inline constexpr const char *RequestId = "X-Request-Id";
inline constexpr const char *IdempotencyKey = "Idempotency-Key";
inline constexpr const char *Deadline = "X-Request-Timeout-Ms"; ///< Timeout in milliseconds.
inline constexpr const char *ChatId = "X-Chat-Id";
inline constexpr const char *Hops = "X-Catkinloft-Hops";
inline constexpr const char *Verdict = "X-Catkinloft-Verdict";
inline constexpr const char *Refusal = "X-Catkinloft-Refusal";
/// Sent to the caller with a stream and sent back by it with `GET /v1/streams/{request id}`.
inline constexpr const char *Resume = "X-Catkinloft-Resume";
inline constexpr const char *LastEventId = "Last-Event-ID";
/// Set on an answer that was recorded for an earlier attempt with the same idempotency key.
inline constexpr const char *Replayed = "X-Catkinloft-Replayed";
inline constexpr const char *Upstream = "X-Catkinloft-Upstream";
} // namespace headers

/// \brief Determines the kind of a request, its deadline and whether it is idempotent.
class IdentifyFilter
{
public:
    /// \param random source of ids for requests that have none.
    explicit IdentifyFilter(RandomSource random);

    void operator()(const RequestPtr &request, const FilterChain::Next &next) const;

private:
    Result<void> identify(RequestContext &request) const;

    RandomSource m_random;
};

} // namespace catkinloft
