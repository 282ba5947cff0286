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

/// \brief Which routers there are: probing of constant cost, suspicion before death, news on the
/// back of probes (the SWIM family). Free of sockets and of time of its own.
///
/// Load: 890 routers, 80 that fail and 1,200 that are replaced a day, up to a fifth of datagrams
/// lost. Each router probes one other a second, whatever their number. The result is a hint: no
/// promise rests on two routers believing the same.
class Membership
{
public:
    /// \brief The protocol's times. Defaults are for round trips of a few milliseconds.
    struct Timing
    {
        Duration period = std::chrono::seconds(1); ///< One member is probed in each.
        /// Then the probe is repeated; after as long again others are asked to probe.
        Duration ackTimeout = std::chrono::milliseconds(300);
        int indirectProbes = 3; ///< How many are asked.
        double suspicionPeriods = 2; ///< Periods of suspicion for each factor of ten in size.
        Duration deadRetention = std::chrono::minutes(2); ///< How long a dead member is remembered.
        Duration syncInterval = std::chrono::minutes(2); ///< Between comparisons of whole lists.
        int gossipFanout = 3; ///< Members told at once of urgent news, twice over.
    };

    struct Options
    {
        const Clock &clock;
        RandomSource random;
        Member self;
        Timing timing = {};
        /// Sends a message to a peer address. from, digest, load and news are filled in already.
        std::function<void(const std::string &address, PeerMessage)> send;
        std::function<ConfigDigest()> digest = {}; ///< The configuration in force here.
        std::function<bool()> mayDefer = {}; ///< Whether what can wait fits the byte limit now.
    };

    explicit Membership(Options options);

    /// \brief Adds an address to ask where nobody is known.
    void addSeed(const std::string &peerAddress);

    /// \brief Takes over the platform's list as a hint: new names are asked, never believed; names
    /// that it lacks stay until probes find them dead.
    void setVms(const std::vector<VmEntry> &vms);

    /// \brief Handles an authenticated message that came from \a address.
    void receive(const std::string &address, const PeerMessage &message);

    /// \brief Lets time pass.
    void poll();

    /// \returns when poll() has to run next.
    TimePoint nextDeadline() const;

    /// \brief Says that this router leaves: to some members at once, and to the others in turn.
    void leave();

    void setLoad(std::uint32_t load) { m_load = load; }

    /// \brief Tells a few random members at once, with what is in the news and the digest.
    void gossip();

    /// \returns a message of \a kind to \a to with all fields that every message has.
    PeerMessage compose(PeerMessageKind kind, std::string_view to);

    const std::map<std::string, Member, std::less<>> &members() const { return m_members; }
    const Member &self() const { return m_self; }

    /// \returns members other than this one that are neither dead nor leaving.
    std::size_t liveCount() const;

    /// \returns when a message last came in; TimePoint::min() before the first.
    TimePoint lastReceivedAt() const { return m_lastReceivedAt; }

    /// \returns the address of a random live member, empty where none is known.
    std::string randomAddress();

    /// \brief Emitted when a member came, went or changed state.
    sigc::signal<void(const Member &)> &changed() { return m_changed; }

private:
    struct Probe
    {
        std::string target;
        std::uint64_t id = 0;
        TimePoint sent;
        int attempts = 1; ///< Own probe, its repetition, probes by others.
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
    std::map<std::string, Member, std::less<>> m_members; ///< Without this router.
    std::map<std::string, TimePoint, std::less<>> m_deadlines; ///< Of the suspect and the dead.
    std::vector<std::string> m_order; ///< Rest of this round of probes.
    std::map<std::string, std::string> m_candidates; ///< Addresses to try, by name if known.
    MemberUpdateQueue m_updates;
    std::optional<Probe> m_probe;
    std::string m_retryTarget; ///< Member whose last probe failed, to be probed once more.
    std::map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_nextId = 1;
    TimePoint m_nextPeriod;
    TimePoint m_nextSync;
    std::optional<std::string> m_syncAfter; ///< Member after which the next page begins.
    TimePoint m_gossipRepeatAt = TimePoint::max();
    std::vector<std::string>
            m_leaveRecipients; ///< Members that are still to be told that this one leaves.
    TimePoint m_lastReceivedAt = TimePoint::min();
    bool m_gossipPending = false;
    sigc::signal<void(const Member &)> m_changed;
};

} // namespace catkinloft
