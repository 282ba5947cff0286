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

/// \brief View of the routers in the fleet, derived from the heartbeats that they send to each
/// other.
///
/// Handles nine to some hundred routers, of which any number may stop or start at the same time.
/// The result is a hint: a caller that is given the address of a router that has just stopped uses
/// another one. Each router sends a heartbeat to a bounded number of others at a time, so that its
/// cost does not grow with the fleet. In a large fleet, a router therefore receives a heartbeat
/// from each other router only once in several intervals. Decisions that all routers must make
/// alike are based on the rows in the store and on the heartbeats of the last two rounds.
class FleetView
{
public:
    struct Options
    {
        const Clock &clock;
        std::string self; ///< Name of this router.
        std::string selfAddress = {}; ///< `ip:port` for the other routers.
        /// A router without a heartbeat for this long is not named to callers; almost four
        /// heartbeat intervals.
        Duration heartbeatTimeout = std::chrono::milliseconds(1500);
        Duration configApplyTimeout =
                std::chrono::seconds(2); ///< In which changes must become active.
        /// How long a router without heartbeats still counts as one that shares limits.
        Duration sharingTimeout = std::chrono::seconds(30);
        /// How long a router that did not answer is suspected, unless a heartbeat of it is
        /// received.
        Duration suspicion = std::chrono::seconds(10);
    };

    /// Pause between heartbeats. In a small fleet, this bounds the age of the counts of requests in
    /// progress.
    static constexpr Duration HeartbeatInterval = std::chrono::milliseconds(400);

    /// Routers that one heartbeat is sent to.
    static constexpr std::size_t HeartbeatFanout = 26;

    /// \brief Another router and its last heartbeat.
    struct Peer
    {
        RouterHeartbeat heartbeat;
        TimePoint receivedAt;
    };

    /// \brief Properties that decide whether a router reads the store for the others.
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

    /// \brief Sets the time in which changes must become active.
    void setConfigApplyTimeout(Duration limit) { m_options.configApplyTimeout = limit; }

    /// \brief Handles a received heartbeat.
    /// \returns false if it was sent by this router or is not newer than the last one of its
    /// sender.
    bool receive(const RouterHeartbeat &heartbeat);

    /// \brief Sets the routers that are registered in the store. Removes routers that are not
    /// registered and whose last heartbeat is older than Options::sharingTimeout.
    void setRegistered(std::span<const RegisteredRouter> routers);

    /// \returns whether setRegistered() was called before.
    bool knowsRegistered() const { return m_registeredAt.has_value(); }

    /// \brief Records that router \a name did not answer a request that was sent at \a asked. The
    /// router is not chosen as a reader until its next heartbeat is received or the suspicion
    /// expires.
    void noteUnanswered(const std::string &name, TimePoint asked);

    /// \returns up to \a n addresses to send a heartbeat to; successive calls go through all
    /// addresses in turn.
    std::vector<std::string> nextTargets(std::size_t n);

    /// \returns the addresses of the \a n routers that store the reports about \a subject. The
    /// result is the same on all routers that know the same others. This router is not included.
    std::vector<std::string> holdersOf(std::string_view subject, std::size_t n) const;

    /// \returns whether this router is one of the \a n that are chosen for \a subject; false before
    /// setRegistered() was called. The choice is the same on all routers that know the same others.
    bool isChosenFor(std::string_view subject, std::size_t n) const;

    /// \returns the number of addresses that heartbeats are sent to.
    std::size_t addressCount() const { return m_addresses.size(); }

    /// \returns the number of heartbeats that it takes to reach every other router once.
    std::size_t heartbeatsPerRound() const;

    /// \returns the other routers whose last heartbeat is not older than Options::heartbeatTimeout,
    /// including those that leave.
    std::vector<const Peer *> live() const;

    /// \returns the registered routers from which no heartbeat was received yet. Empty once the
    /// first rounds after the start of this router are over.
    ///
    /// Handles the start of all routers and callers at the same time. Without it, the routers whose
    /// heartbeats come first would be the only ones named to callers and would read the store for
    /// all.
    std::vector<RegisteredRouter> unseen() const;

    /// \returns the routers of unseen() that may be named to callers. As the store also has rows
    /// of routers that are gone for good, they are named only as long as first heartbeats usually
    /// take.
    std::vector<RegisteredRouter> unseenToAdvertise() const;

    /// \returns the number of routers that share the fleet's limits, including this one. Routers
    /// whose heartbeats stopped count for Options::sharingTimeout, since they may be cut off but
    /// still serve.
    int sharingRouters() const;

    /// \brief Chooses the routers that read the store for the others.
    ///
    /// Handles hundreds of routers and replicas. Prevents that every router reads the store: each
    /// read costs as much as a small request, and one a second from every router would cost a
    /// twentieth of the total revenue. There are two readers, so that one of them may stop. If both
    /// are lost, each router reads for itself until others have taken over. The readers are the
    /// routers with the largest VMs, and the same on all routers that have received a heartbeat of
    /// every router or the rows of the store. Disagreement only causes additional reads.
    ///
    /// \param self this router.
    ///
    /// \returns at most ReaderCount names; routers that cannot reach the store are not included.
    std::vector<std::string> readers(const Reader &self) const;

    /// \returns the peer with name \a name if it is live, otherwise null.
    const Peer *find(const std::string &name) const;

    /// \returns the peer address of router \a name; empty if it is neither registered nor known by
    /// a heartbeat.
    std::string peerAddressOf(const std::string &name) const;

    /// \returns the live router with the newest configuration revision among those whose freshness
    /// proof is not older than \a maxAge; of several, the one with the youngest proof. Null if
    /// there is none.
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
    std::map<std::string, TimePoint> m_suspects; ///< Start of the suspicion, by name.
    std::optional<TimePoint> m_registeredAt; ///< Of the first call of setRegistered().
    std::vector<std::string> m_addresses;
    std::size_t m_next = 0;
};

} // namespace catkinloft
