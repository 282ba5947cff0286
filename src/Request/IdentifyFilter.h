#pragma once

#include "Base/Random.h"
#include "Request/FilterChain.h"

namespace catkinloft {

/// \brief Names of the headers that the system reads and writes.
namespace headers {
inline constexpr const char *Authorization = "Authorization";
inline constexpr const char *RequestId = "X-Request-Id";
inline constexpr const char *IdempotencyKey = "Idempotency-Key";
inline constexpr const char *Deadline = "X-Request-Timeout-Ms"; ///< Milliseconds from now.
inline constexpr const char *ChatId = "X-Chat-Id";
inline constexpr const char *Hops = "X-Catkinloft-Hops";
inline constexpr const char *Verdict = "X-Catkinloft-Verdict";
inline constexpr const char *Refusal = "X-Catkinloft-Refusal";
/// Comes with a stream and goes back with `GET /v1/streams/{request id}`.
inline constexpr const char *Resume = "X-Catkinloft-Resume";
inline constexpr const char *LastEventId = "Last-Event-ID";
/// Set on an answer that an earlier attempt with the same key got.
inline constexpr const char *Replayed = "X-Catkinloft-Replayed";
inline constexpr const char *Upstream = "X-Catkinloft-Upstream";
} // namespace headers

/// \brief Finds out what a request asks for, by when, and whether it may be repeated.
class IdentifyFilter
{
public:
    /// \param random for the ids of requests that carry none.
    explicit IdentifyFilter(RandomSource random);

    void operator()(const RequestPtr &request, const FilterChain::Next &next) const;

private:
    Result<void> identify(RequestContext &request) const;

    RandomSource m_random;
};

} // namespace catkinloft
