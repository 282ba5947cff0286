#pragma once

#include "Base/Clock.h"
#include "Control/RegisteredRouter.h"
#include "Control/RouterHeartbeat.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Which routers there are, from the beats that they send to each other.
///
/// Load: nine to some hundred routers of which any number may stop at any moment, or start
/// together. What is told is a hint: callers who get the address of one that has just stopped take
/// another. Each router beats to a bounded number of others at a time, so that its cost does not
/// grow with the fleet. In a large fleet a beat from a router then comes once in several intervals,
/// and what all have to decide alike rests on rows in the store and on beats of the last two
/// rounds.
class FleetView
{
public:
    struct Options
    {
        const Clock &clock;
        std::string self; ///< Name of this router.
        std::string selfAddress = {}; ///< `ip:port` at which the others reach it.
        /// A router that was silent for so long is not named to callers: some four beats.
        Duration heartbeatTimeout = std::chrono::milliseconds(1500);
        Duration configApplyLimit =
                std::chrono::seconds(2); ///< In which changes have to be in force.
        /// How long a silent router still counts among those that share limits.
        Duration sharingTimeout = std::chrono::seconds(30);
        /// How long a router that did not answer is not asked again unless it is heard.
        Duration suspicion = std::chrono::seconds(10);
    };

    /// Pause between beats. Counts of requests in progress are at most this old in a small fleet.
    static constexpr Duration HeartbeatInterval = std::chrono::milliseconds(400);

    /// Routers that one beat goes to.
    static constexpr std::size_t HeartbeatFanout = 26;

    /// \brief Another router, as last heard.
    struct Peer
    {
        RouterHeartbeat heartbeat;
        TimePoint receivedAt;
    };

    /// \brief What decides whether a router reads the store for the others.
    struct Reader
    {
        std::string_view name;
        double processorShare = 1; ///< \sa RouterHeartbeat::processorShare
        bool leaving = false;
        bool storeFailing = false; ///< \sa RouterHeartbeat::storeFailing
        Duration storeUnansweredFor = Duration::zero(); ///< \sa RouterHeartbeat::storeUnansweredFor
    };

    static constexpr std::size_t ReaderCount = 2;

    explicit FleetView(Options options) : m_options(std::move(options)) { }

    /// \brief Changes the time in which changes have to be in force.
    void setConfigApplyLimit(Duration limit) { m_options.configApplyLimit = limit; }

    /// \brief Takes over \a heartbeat.
    /// \returns false where it is this router's own, or older than what is known.
    bool receive(const RouterHeartbeat &heartbeat);

    /// \brief Takes over the routers that the store has, and forgets those that it lacks and that
    /// were not heard for long.
    void setRegistered(std::span<const RegisteredRouter> routers);

    /// \returns whether setRegistered() was called.
    bool knowsRegistered() const { return m_registeredAt.has_value(); }

    /// \brief Notes that router \a name left something unanswered that was sent to it at \a asked.
    /// It does not read for the others until it is heard again or the suspicion ends.
    void noteUnanswered(const std::string &name, TimePoint asked);

    /// \returns up to \a n addresses to beat to, all in turn.
    std::vector<std::string> nextTargets(std::size_t n);

    /// \returns the addresses of \a n routers that keep what is told about \a subject, the same on
    /// all routers that know the same others. This one is not among them.
    std::vector<std::string> holdersOf(std::string_view subject, std::size_t n) const;

    /// \returns whether this router is one of the \a n that are chosen for \a subject, the same on
    /// all routers that know the same others; false before the store's rows are known.
    bool isChosenFor(std::string_view subject, std::size_t n) const;

    /// \returns how many addresses there are to beat to.
    std::size_t addressCount() const { return m_addresses.size(); }

    /// \returns how many beats it takes to reach every other router once.
    std::size_t heartbeatsPerRound() const;

    /// \returns the other routers that were heard lately, leaving ones included.
    std::vector<const Peer *> live() const;

    /// \returns registered routers that were not heard yet, in the first rounds after the start of
    /// this one; none later.
    ///
    /// Load: all routers start at once, and callers with them. Harm prevented: the first ones heard
    /// would be the only ones named to callers and would read the store for all.
    std::vector<RegisteredRouter> unseen() const;

    /// \returns those of unseen() that callers may be told of: rows of routers that are gone for
    /// good stay, and are not named for longer than others need to be heard.
    std::vector<RegisteredRouter> unseenToAdvertise() const;

    /// \returns how many routers share the fleet's limits, this one included. Routers that fell
    /// silent count for a while, since they may be cut off and serving.
    int sharingRouters() const;

    /// \brief Decides which routers read the store for the others.
    ///
    /// Load: hundreds of routers and replicas. Harm prevented: reads of the store cost as much as a
    /// small request each, and one a second from every router is a twentieth of all that is earned.
    /// Two read, so that one may stop; where both are lost, each router reads for itself until
    /// others have taken over. They are the strongest VMs, and the same for all who have heard
    /// every router or the store's rows; disagreement costs some reads more.
    ///
    /// \param self this router.
    ///
    /// \returns names, at most ReaderCount; a router that can't reach the store is not among them.
    std::vector<std::string> readers(const Reader &self) const;

    /// \returns the peer named \a name if it is live.
    const Peer *find(const std::string &name) const;

    /// \returns where router \a name is reached; empty if it was neither heard nor registered.
    std::string peerAddressOf(const std::string &name) const;

    /// \returns a live router whose view of the store is younger than \a maxAge, the youngest first
    /// by revision, then by age; null where there is none.
    const Peer *freshest(Duration maxAge) const;

private:
    bool isLive(const Peer &peer) const;
    bool isSuspect(const std::string &name) const;
    bool mayRead(const Reader &it) const;
    Duration roundTime() const;
    void addAddress(const std::string &peerAddress);

    Options m_options;
    std::map<std::string, Peer> m_peers; ///< By name.
    std::map<std::string, RegisteredRouter> m_registered; ///< By name.
    std::map<std::string, TimePoint> m_suspects; ///< Since when, by name.
    std::optional<TimePoint> m_registeredAt; ///< When the store's rows were known first.
    std::vector<std::string> m_addresses;
    std::size_t m_next = 0;
};

} // namespace catkinloft
