#pragma once

#include <cstdint>
#include <optional>

namespace catkinloft {

/// \brief Checks the order of a stream's events across all connections to replicas. Does no I/O.
///
/// Ids increase, but not necessarily by one. If an id decreases within one connection, an event was
/// forwarded before an earlier one. A resumed stream may first repeat events up to the one after
/// which it was asked to resume. If all ids have been consecutive so far, it has to continue with
/// the next one.
///
/// \sa StreamCursor for streams whose ids are known to be consecutive
class EventOrder
{
public:
    enum class Disposition {
        Deliver,
        Skip, ///< The caller already has the event.
        Gap, ///< The resumed stream skipped events, so this one must not be delivered.
        Disorder, ///< The event belongs before one already received on this connection.
    };

    /// \param last id of the last event that the caller already has; the stream resumes after it.
    explicit EventOrder(std::optional<std::int64_t> last = {}) : m_last(last) { }

    /// \brief Has to be called before the events of a new connection.
    void beginConnection();

    /// \brief Checks and records the next event.
    /// \param id id of the event; an event without one is always delivered.
    /// \param hasData whether the event has data, unlike a comment.
    /// \returns what to do with the event.
    Disposition take(std::optional<std::int64_t> id, bool hasData = true);

    /// \returns the id of the last event that the caller has.
    std::optional<std::int64_t> last() const { return m_last; }

    /// \returns whether the caller got an event before an earlier one that it lacks. Such a stream
    /// can't be completed any more.
    bool hasLostEvent() const { return m_hasLostEvent; }

    /// \returns whether another connection can go on where this one ended: the caller lacks no
    /// event, and has no data after the last id.
    bool isResumable() const { return !m_hasLostEvent && !m_hasUnnumberedData; }

private:
    bool continues(std::int64_t id) const;

    std::optional<std::int64_t> m_last;
    std::optional<std::int64_t> m_lastOnConnection; ///< Last id on the current connection.
    bool m_delivered = false; ///< An event was delivered on any connection.
    bool m_deliveredOnConnection = false; ///< An event was delivered on the current connection.
    bool m_consecutive = true; ///< All ids delivered so far were consecutive.
    bool m_hasLostEvent = false;
    bool m_hasUnnumberedData = false; ///< Data was delivered without an id since the last one.
};

} // namespace catkinloft
