#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace catkinloft {

/// \brief Counts every byte that this router sends for coordination and probes and holds the node
/// under its limit by refusing what can wait.
///
/// Load: 890 routers at 25,000 changes of configuration a day, with bursts when a failure domain
/// fails. Limit: the users allow 3 KB a second and node. A bucket of ten seconds' worth lets a
/// change spread at once and still holds the mean. Probes and their answers are never held back:
/// late ones would make live routers look dead, which causes still more news. They cost about a
/// sixth of the limit.
class TrafficGovernor
{
public:
    /// What goes on the wire around a datagram: IPv4 and UDP headers.
    static constexpr std::size_t DatagramHeaders = 28;

    /// Estimate for one short TCP exchange: handshake, acknowledgements and teardown, 40 bytes
    /// each.
    static constexpr std::size_t ConnectionOverhead = 7 * 40;

    struct Options
    {
        const Clock &clock;
        double bytesPerSecond = 3000;
        Duration burst = std::chrono::seconds(10);
    };

    explicit TrafficGovernor(Options options);

    /// \brief Counts a datagram of \a n bytes that has been sent.
    void countDatagram(std::size_t n) { count(n + DatagramHeaders); }

    /// \brief Counts \a n bytes with their headers, as of a call on a connection that is kept.
    void countBytes(std::size_t n) { count(n); }

    /// \brief Counts an exchange over TCP in which this router sent \a n bytes.
    void countConnection(std::size_t n) { count(n + ConnectionOverhead); }

    /// \returns whether something that can wait may be sent now. It leaves half of the bucket for
    /// probes.
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
