#pragma once

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Base/VmList.h"
#include "Control/MemberUpdateQueue.h"
#include "Control/PeerMessage.h"

#include <sigc++/signal.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Maintains the list of routers with a protocol of the SWIM family: each router probes the
/// others at constant cost, suspects a member before it declares it dead, and piggybacks membership
/// updates on probes. Uses no sockets and no clock of its own.
///
/// Handles 890 routers, of which 80 fail and 1,200 are replaced a day, while up to a fifth of the
/// datagrams is lost. Each router probes one other a second, whatever the number of members. The
/// result is a hint: no guarantee depends on two routers having the same view.
class Membership
{
public:
    /// \brief Timing of the protocol. The defaults suit round trips of a few milliseconds.
    struct Timing
    {
        Duration period = std::chrono::seconds(1); ///< One member is probed in each period.
        /// Time until an unanswered probe is retried; after the same time again, other members are
        /// asked to probe.
        Duration ackTimeout = std::chrono::milliseconds(300);
        int indirectProbes = 3; ///< Members that are asked to probe.
        /// Periods that a member stays suspect for each factor of ten in the number of members.
        double suspicionPeriods = 2;
        Duration deadRetention = std::chrono::minutes(2); ///< Before a dead member is removed.
        Duration syncInterval = std::chrono::minutes(2); ///< Between comparisons of full lists.
        /// Members that urgent updates are sent to at once; sent to as many again after a pause.
        int gossipFanout = 3;
    };

    struct Options
    {
        const Clock &clock;
        RandomSource random;
        Member self;
        Timing timing = {};
        /// Sends a message to a peer address. from, digest, load and updates are already set.
        std::function<void(const std::string &address, PeerMessage)> send;
        std::function<ConfigDigest()> digest = {}; ///< Active configuration of this router.
        /// Returns whether the byte limit leaves room for messages that could wait.
        std::function<bool()> mayDefer = {};
    };

    explicit Membership(Options options);

    /// \brief Adds an address to contact while no member is known.
    void addSeed(const std::string &peerAddress);

    /// \brief Uses the platform's list of VMs as a hint: new names are contacted but become members
    /// only when they answer; members that are not in the list stay until probes declare them dead.
    void setVms(const std::vector<VmEntry> &vms);

    /// \brief Handles an authenticated message that was received from \a address.
    void receive(const std::string &address, const PeerMessage &message);

    /// \brief Runs the timers that are due.
    void poll();

    /// \returns when poll() must be called next.
    TimePoint nextDeadline() const;

    /// \brief Announces that this router leaves: to a few members at once, then to the others in
    /// turn.
    void leave();

    void setLoad(std::uint32_t load) { m_load = load; }

    /// \brief Sends queued updates and the configuration digest to a few random members at once.
    void gossip();

    /// \returns a message of \a kind to \a to with the fields that all messages have in common.
    PeerMessage compose(PeerMessageKind kind, std::string_view to);

    const std::map<std::string, Member, std::less<>> &members() const { return m_members; }
    const Member &self() const { return m_self; }

    /// \returns the number of members other than this one that are neither dead nor leaving.
    std::size_t liveCount() const;

    /// \returns when the last message was received; TimePoint::min() before the first.
    TimePoint lastReceivedAt() const { return m_lastReceivedAt; }

    /// \returns the address of a random member that is not dead; empty if none is known.
    std::string randomAddress();

    /// \brief Emitted when a member is added or changes its state.
    sigc::signal<void(const Member &)> &changed() { return m_changed; }

private:
    struct Probe
    {
        std::string target;
        std::uint64_t id = 0;
        TimePoint sent;
        int attempts = 1; ///< 1: direct probe, 2: its retry, 3: indirect probes.
        bool answered = false;
    };
    struct Relay
    {
        std::string address;
        std::uint64_t probe = 0;
        TimePoint sent;
    };

    void accept(const Member &update, bool disseminate);
    void refute(const Member &update);
    void handleSender(const std::string &address, const PeerMessage &message);
    void applyUpdate(const Member &update, bool disseminate = true);
    void answerPingRequest(const std::string &address, const PeerMessage &message);
    void relayAck(const PeerMessage &message);
    void answerSync(const std::string &address, const PeerMessage &message);
    void continueSync(const PeerMessage &message);
    void requestPage();
    std::uint64_t listHash() const;
    void startProbe();
    void retryProbe();
    void probeIndirectly();
    TimePoint nextAttempt() const;
    void endProbe();
    void contactCandidates();
    void expire();
    void startSync();
    void gossipNow();
    void announceLeave();
    std::string nextTarget();
    std::vector<const Member *> randomMembers(std::size_t n, std::string_view except);
    Duration suspicionTime() const;
    int maxSends() const;
    std::size_t maxUpdatesPerMessage() const;
    void sendTo(const Member &member, PeerMessage message);

    Options m_options;
    Member m_self;
    std::uint32_t m_load = 0;
    std::map<std::string, Member, std::less<>> m_members; ///< Excludes this router.
    std::map<std::string, TimePoint, std::less<>> m_deadlines; ///< Of suspect and dead members.
    std::vector<std::string> m_order; ///< Members still to be probed in this round.
    /// Addresses that may belong to routers, by name, or by address for seeds.
    std::map<std::string, std::string> m_candidates;
    MemberUpdateQueue m_updates;
    std::optional<Probe> m_probe;
    std::string m_retryTarget; ///< Member whose last probe failed; it is probed again next.
    std::map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_nextId = 1;
    TimePoint m_nextPeriod;
    TimePoint m_nextSync;
    std::optional<std::string> m_syncAfter; ///< Member after which the next page begins.
    TimePoint m_gossipRepeatAt = TimePoint::max();
    /// Members that were not yet notified that this one leaves.
    std::vector<std::string> m_leaveRecipients;
    TimePoint m_lastReceivedAt = TimePoint::min();
    bool m_gossipPending = false;
    sigc::signal<void(const Member &)> m_changed;
};

} // namespace catkinloft
