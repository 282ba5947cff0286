#pragma once

#include "Base/Random.h"
#include "Net/RelayCodec.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

class EventLoop;

/// \brief A router that may relay requests.
struct RelayPeer
{
    std::string name = {};
    std::string address = {}; ///< `ip:port` for routers.
    std::string failureDomain = {};
    double processorShare = 1; ///< Processor cores of its VM.
};

/// \brief Chooses the routers that relay requests to replicas which this router has lost its path
/// to, and asks them whether they reach a replica.
///
/// Handles a few routers, or all routers of a failure domain, that are partitioned from the
/// replicas at the same time. Prevents that the requests of all of them go through the same router:
/// the choice is random, weighted by the processor share. Bytes between failure domains are
/// expensive, so routers in the domain of this router or of the replica are preferred.
///
/// A relayed request is never relayed again.
class RelayClient
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        RandomSource random;
        std::string failureDomain = {}; ///< Failure domain of this router.
        /// Returns the live routers that may relay requests for \a service.
        std::function<std::vector<RelayPeer>(const std::string &service)> peers;
        /// Signs a text with the key of the fleet; empty before the key is known.
        std::function<std::string(std::string_view text)> sign;
        /// Called before the result of checkPath() for each asked router whose own attempts at
        /// replica \a id broke, with the time since the first one.
        std::function<void(const std::string &id, Duration brokenFor)> brokenElsewhere =
                [](const std::string &, Duration) {};
    };

    /// \brief Answer to checkPath().
    enum class PathState : std::uint8_t {
        Reached, ///< At least one router reaches the replica.
        Refused, ///< A router that reaches other replicas is refused, and no router reaches it.
        CrashedBefore, ///< As Refused, and a router knows of an earlier crash of the replica.
        Unknown, ///< No router has an answer.
    };

    /// Path of the requests that ask whether a router reaches a replica.
    static constexpr const char *CheckPath = "/v1/path";

    /// Query parameter of such a request: it asks whether bytes arrived within so many
    /// milliseconds.
    static constexpr const char *ReceivedWithin = "received_within_ms";

    /// Answer to such a question if they did.
    static constexpr std::string_view ReceivedAnswer = "received";

    /// Header of the answer to a question about a path: milliseconds since the replica first broke
    /// an attempt of the asked router. \sa CrashWatch::brokenFor()
    static constexpr const char *BrokenForHeader = "X-Catkinloft-Broken-For-Ms";

    /// Header that contains the signature of such a request.
    static constexpr const char *SignatureHeader = "X-Catkinloft-Signature";

    explicit RelayClient(Options options) : m_options(std::move(options)) { }

    /// \returns whether a router may relay requests for \a service.
    bool isAvailable(const std::string &service);

    /// \returns a router that may relay a request for \a service to a replica in \a failureDomain.
    std::optional<RelayPeer> choose(const std::string &service, const std::string &failureDomain);

    /// \brief Avoids router \a name for a while, because it did not relay a request.
    void noteFailed(const std::string &name);

    /// \brief Records that router \a name could not connect to replica \a id.
    /// \returns whether two routers found so recently, so that the replica is probably down. One
    /// alone may have lost its own path.
    bool isUnreachableToo(const std::string &name, const std::string &id);

    /// \returns \a call, changed so that \a peer relays it to the replica of \a ticket.
    HttpCall relayed(HttpCall call, const RelayPeer &peer, RelayTicket ticket);

    /// \brief Asks several routers whether they reach replica \a id of \a service.
    /// \param done is called once, not from within this function.
    void checkPath(const std::string &service, const std::string &id,
                   std::function<void(PathState)> done);

    /// \brief Asks several routers whether bytes of replica \a id of \a service arrived there
    /// within the time \a within.
    /// \param done is called once, not from within this function.
    void checkReceived(const std::string &service, const std::string &id, Duration within,
                       std::function<void(bool received)> done);

private:
    std::vector<RelayPeer> usable(const std::string &service);
    std::size_t ask(const std::string &service, const std::string &target,
                    const std::function<void(const HttpAnswer &answer)> &answered);
    void noteBrokenFor(const std::string &id, const HttpAnswer &answer) const;

    Options m_options;
    std::int64_t m_tickets = 0; ///< Number of tickets so far.
    std::map<std::string, TimePoint> m_avoidedUntil; ///< By name of the router.
    /// When a router could not connect to a replica, by replica and name of the router.
    std::map<std::string, std::map<std::string, TimePoint>> m_unreachable;
};

} // namespace catkinloft
