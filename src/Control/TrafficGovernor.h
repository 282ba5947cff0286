#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace catkinloft {

/// \brief Token bucket that counts all bytes this router sends for coordination and probes, and
/// keeps the router below its byte limit by refusing messages that can wait.
///
/// Handles 890 routers with 25,000 configuration changes a day, and bursts when a failure domain
/// fails. The limit of 3 KB a second for each node is a requirement of the users. A bucket of ten
/// seconds allows a change to propagate at once and still bounds the mean. Probes and their
/// answers, which cost about a sixth of the limit, are never delayed: late ones would make live
/// routers appear dead, which would cause even more updates.
class TrafficGovernor
{
public:
    /// IPv4 and UDP headers of a datagram.
    static constexpr std::size_t DatagramHeaders = 28;

    /// Estimated overhead of a short TCP exchange: handshake, acknowledgements and teardown, 40
    /// bytes each.
    static constexpr std::size_t ConnectionOverhead = 7 * 40;

    struct Options
    {
        const Clock &clock;
        double bytesPerSecond = 3000;
        Duration burst = std::chrono::seconds(10);
    };

    explicit TrafficGovernor(Options options);

    /// \brief Counts a sent datagram of \a n bytes.
    void countDatagram(std::size_t n) { count(n + DatagramHeaders); }

    /// \brief Counts \a n bytes that include headers, as for a call on a persistent connection.
    void countBytes(std::size_t n) { count(n); }

    /// \brief Counts an exchange over TCP in which this router sent \a n bytes.
    void countConnection(std::size_t n) { count(n + ConnectionOverhead); }

    /// \returns whether a message that could wait may be sent now. Half of the bucket is reserved
    /// for probes.
    bool allowsDeferrable();

    std::uint64_t total() const { return m_total; }

private:
    void count(std::size_t n);
    void refill();

    Options m_options;
    TimePoint m_last;
    double m_tokens;
    std::uint64_t m_total = 0;
};

} // namespace catkinloft
