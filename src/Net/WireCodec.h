#pragma once

#include "Base/ReplicaRecord.h"
#include "Decide/LoadShedder.h"
#include "Net/HttpClient.h"
#include "Request/EntryRequest.h"

#include <functional>
#include <optional>
#include <string>

namespace catkinloft {

/// \brief Information in the headers of a replica's answer.
struct AnswerFacts
{
    std::string requestId = {}; ///< Id of the request that it answers; empty if missing.
    bool isSigned = false; ///< Carries the replica's signature, which a success must have.
    bool notExecuted = false; ///< The replica states that the request did not run and never will.
    bool isLeaving = false; ///< The replica that answered takes no new requests.
    /// Time for which the replica wants no requests from this router; only in an answer that
    /// refuses a request.
    std::optional<Duration> pause = {};
    /// Load of the replica when it answered, if it reports one.
    std::optional<ReplicaLoad> load = {};
    /// Rejections in one second that the replica survives, if it announces such a limit.
    std::optional<int> maxRejections = {};
    bool isMaxRejectionsMalformed = false; ///< The announced limit is unusable.
};

/// \brief One attempt of a request.
struct OutgoingRequest
{
    const EntryRequest &request;
    const ReplicaRecord &replica;
    std::string copyPromptFrom; ///< `ip:port` of a replica that caches the prompt; empty: none.
    Duration remaining; ///< Time until the deadline of the request.
    std::optional<std::int64_t> lastEventId; ///< The stream is resumed after this event.
    std::optional<int> priority = {}; ///< Stated to an engine, 0 to 9; 0 is the most urgent.
};

/// \brief Encodes and decodes the headers of forwarded requests and answers. It consists of
/// callbacks so that only the platform adapter knows the names of the headers.
struct WireCodec
{
    std::string requestIdHeader; ///< Header with the id of a request, which its answer repeats.
    std::function<CallFacts(const HttpHeaders &)> decodeRequest;
    std::function<HttpHeaders(const OutgoingRequest &)> encodeRequest;
    std::function<AnswerFacts(const HttpHead &)> decodeAnswer;
    /// Headers that the caller receives.
    std::function<HttpHeaders(const HttpHead &)> passedAnswerHeaders;
    std::function<HttpHeaders(const EntryRequest &)> ownAnswerHeaders; ///< Headers of a refusal.
    /// Headers of a request that is meant for no replica, so that each one rejects it at once.
    std::function<HttpHeaders()> pathProbeHeaders = [] { return HttpHeaders(); };
    /// Headers of a health check that is meant for the replica with this id.
    std::function<HttpHeaders(const std::string &id)> identityProbeHeaders =
            [](const std::string &) { return HttpHeaders(); };
    /// Whether an answer to such a check comes from that replica.
    std::function<bool(const HttpHead &, const std::string &id)> isFromReplica =
            [](const HttpHead &, const std::string &) { return true; };
};

} // namespace catkinloft
