#pragma once

#include "Base/Error.h"
#include "Net/HttpClient.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Statement of the sending router about a request that another router relays for it.
struct RelayTicket
{
    std::string replica = {}; ///< Incarnation of the only replica that may receive the request.
    std::vector<std::string> suspects = {}; ///< \sa RequestQuarantine::Suspects
    std::int64_t sentAtMs = 0; ///< Unix time at the sender.
    std::int64_t number = 0; ///< Distinguishes the tickets of one sender.
    std::string signature = {}; ///< Of RelayCodec::signedText().
};

/// \brief Outcome of a relayed request that got no answer of its replica.
struct RelayFailure
{
    Error error = {};
    /// The replica or the path to it failed; otherwise the relaying router refused the request.
    bool isReplicaAtFault = false;
    bool hasReplicaCrashed = false;
};

/// \brief Encodes and decodes the headers with which a request and its failure pass from one router
/// to another.
class RelayCodec
{
public:
    /// Name of the request header that contains the ticket.
    static constexpr const char *TicketHeader = "X-Catkinloft-Relay";

    /// Name of the answer header that contains a failure.
    static constexpr const char *FailureHeader = "X-Catkinloft-Relay-Failure";

    static std::string encode(const RelayTicket &ticket);

    /// \returns the ticket in \a text, or MalformedRequest.
    static Result<RelayTicket> decode(std::string_view text);

    /// \returns what the sender signs: the ticket and the whole request, so that none of it can be
    /// changed or reused for another request.
    static std::string signedText(const RelayTicket &ticket, std::string_view method,
                                  std::string_view target, const HttpHeaders &headers,
                                  std::string_view body);

    /// \returns \a headers without the hop-by-hop headers and those of this class.
    static HttpHeaders endToEnd(const HttpHeaders &headers);

    static HttpHeader encodeFailure(const RelayFailure &failure);

    /// \returns the failure in \a head, or nothing if it is the answer of the replica.
    static std::optional<RelayFailure> decodeFailure(const HttpHead &head);
};

} // namespace catkinloft
