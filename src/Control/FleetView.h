#pragma once

#include "Base/Clock.h"
#include "Control/RouterBeat.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft {

/// \brief Which routers there are, from the beats that they send to each other.
///
/// Load: nine to some eighty routers of which any number may stop at any moment. What is told is a
/// hint: callers who get the address of one that has just stopped take another. Each router beats
/// to a bounded number of others at a time, so that its cost does not grow with the fleet.
class FleetView
{
public:
    struct Options
    {
        const Clock &clock;
        std::string self; ///< Name of this router.
        /// A router that was silent for so long is not named to callers: six beats.
        Duration silence = std::chrono::milliseconds(1500);
        Duration configLimit = std::chrono::seconds(2); ///< In which changes have to be in force.
        /// How long a silent router still counts among those that share limits.
        Duration remembered = std::chrono::seconds(30);
    };

    /// \brief Another router, as last heard.
    struct Peer
    {
        RouterBeat beat;
        TimePoint heardAt;
    };

    /// \brief What decides whether a router reads the store for the others.
    struct Reader
    {
        std::string_view name;
        double processorShare = 1; ///< \sa RouterBeat::processorShare
        bool leaving = false;
        bool storeFailing = false; ///< \sa RouterBeat::storeFailing
        Duration storeSilence = Duration::zero(); ///< \sa RouterBeat::storeSilence
    };

    static constexpr std::size_t ReaderCount = 2;

    explicit FleetView(Options options) : m_options(std::move(options)) { }

    /// \brief Changes the time in which changes have to be in force.
    void setConfigLimit(Duration limit) { m_options.configLimit = limit; }

    /// \brief Takes over \a beat.
    /// \returns false where it is this router's own, or older than what is known.
    bool receive(const RouterBeat &beat);

    /// \brief Adds a peer address to beat to, as found in the store or the settings.
    void addAddress(const std::string &peerAddress);

    /// \brief Forgets addresses at which nobody was heard for long and that the store lacks.
    void setRegistered(const std::vector<std::string> &peerAddresses);

    /// \returns up to \a n addresses to beat to, all in turn.
    std::vector<std::string> nextTargets(std::size_t n);

    /// \returns how many addresses there are to beat to.
    std::size_t addressCount() const { return m_addresses.size(); }

    /// \returns the other routers that were heard lately, leaving ones included.
    std::vector<const Peer *> live() const;

    /// \returns how many routers share the fleet's limits, this one included. Routers that fell
    /// silent count for a while, since they may be cut off and serving.
    int sharers() const;

    /// \brief Decides which routers read the store for the others.
    ///
    /// Load: 73 routers and 144 replicas. Harm prevented: reads of the store cost as much as a
    /// small request each, and one a second from every router is a twentieth of all that is earned.
    /// Two read, so that one may stop; where both are lost, each router reads for itself until
    /// others have taken over. A third one costs 0.4 to 0.8% of all that is earned. They are the
    /// same for all who hear the same routers, and the strongest VMs. Disagreement costs some reads
    /// more. \param self
    /// this router. \returns names, at most ReaderCount; a router that can't
    /// reach the store is not among them.
    std::vector<std::string> readers(const Reader &self) const;

    /// \returns the peer named \a name if it is live.
    const Peer *find(const std::string &name) const;

    /// \returns a live router whose view of the store is younger than \a maxAge, the youngest first
    /// by revision, then by age; null where there is none.
    const Peer *freshest(Duration maxAge) const;

private:
    bool isLive(const Peer &peer) const;

    Options m_options;
    std::map<std::string, Peer> m_peers; ///< By name.
    std::vector<std::string> m_addresses;
    std::size_t m_next = 0;
};

} // namespace catkinloft
