#pragma once

#include "Base/ReplicaRecord.h"
#include "Decide/LoadShedder.h"
#include "Net/HttpClient.h"
#include "Request/EntryRequest.h"

#include <functional>
#include <optional>
#include <string>

namespace catkinloft {

/// \brief What a replica's answer says besides status and body.
struct AnswerFacts
{
    std::string requestId = {}; ///< Of the request that it answers; empty where it does not say.
    bool isSigned = false; ///< Bears the replica's signature, without which a success is none.
    bool notExecuted = false; ///< The replica states that it did nothing and never will.
    bool isLeaving = false; ///< The replica that answers takes no new requests.
    /// For how long the replica wants no requests from this router; only of an answer that turns
    /// one away.
    std::optional<Duration> pause = {};
    std::optional<ReplicaLoad> load = {}; ///< Of the replica when it answered, where it says so.
};

/// \brief One sending of a request.
struct OutgoingRequest
{
    const EntryRequest &request;
    const ReplicaRecord &replica;
    std::string copyPromptFrom; ///< `ip:port` of a replica that keeps the prompt; empty: none.
    Duration remaining; ///< After it nobody wants the answer.
    std::optional<std::int64_t> lastEventId; ///< The stream goes on behind this event.
};

/// \brief How requests and answers look on the wire, for the part that forwards them. Hooks, so
/// that only the adapter knows the names of headers.
struct WireCodec
{
    std::function<CallFacts(const HttpHeaders &)> decodeRequest;
    std::function<HttpHeaders(const OutgoingRequest &)> encodeRequest;
    std::function<AnswerFacts(const HttpHead &)> decodeAnswer;
    std::function<HttpHeaders(const HttpHead &)> passedAnswerHeaders; ///< For the caller.
    std::function<HttpHeaders(const EntryRequest &)> ownAnswerHeaders; ///< Of a refusal.
};

} // namespace catkinloft
