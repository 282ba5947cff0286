#pragma once

#include "Base/Clock.h"
#include "Base/RouteConfig.h"

namespace catkinloft {

/// \brief Time without data from the replica to which a request was sent, and the limits on it.
///
/// Handles replicas and network paths that stop in the middle of an answer. The limits only say
/// when a check of the path or another attempt is worth asking for: the answer may still arrive.
class AttemptSilence
{
public:
    /// Time without an answer to a call after which the network path is checked. Most calls are
    /// answered several times faster.
    static constexpr Duration CallPathLimit = std::chrono::milliseconds(300);

    explicit AttemptSilence(const Clock &clock) : m_clock(clock) { }

    /// \brief Starts with an attempt for \a route.
    /// \param prefill time that a healthy engine may take to process the prompt of a stream.
    void start(const Route &route, Duration prefill);

    /// \brief Records that data arrived.
    void received() { m_lastDataAt = m_clock.now(); }

    /// \brief Records that an event of the stream arrived.
    /// \returns whether it is the first one of this attempt.
    bool eventReceived();

    /// \brief Sets whether this router has stopped reading, because the caller reads slowly.
    void setPaused(bool paused);

    /// \returns whether the network path to the replica should be checked.
    bool isPathDoubtful() const { return time() >= m_pathLimit + m_prefill; }

    /// \returns whether the answer has stalled, so that another replica may be faster.
    bool isStalled() const { return time() >= stallLimit(); }

    /// \returns the time without data; zero while this router has stopped reading.
    Duration time() const;

    /// \returns the time without data after which the answer has stalled.
    Duration stallLimit() const { return m_stallLimit + m_prefill; }

private:
    const Clock &m_clock;
    TimePoint m_lastDataAt; ///< When data last arrived or could not be read, else the start.
    Duration m_pathLimit = Duration::zero();
    Duration m_stallLimit = Duration::zero();
    Duration m_prefill = Duration::zero(); ///< Zero from the first event on.
    bool m_receivedEvent = false;
    bool m_paused = false;
};

} // namespace catkinloft
