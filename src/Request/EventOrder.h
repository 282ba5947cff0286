#pragma once

#include <cstdint>
#include <optional>

namespace catkinloft {

/// \brief Checks the order of a stream's events over all the connections that it came on. Knows no
/// sockets.
///
/// Ids increase, but not necessarily by one. An id that falls within one connection shows that an
/// event was passed on before an earlier one. A resumed connection may first repeat events up to
/// the one that it was asked to go on from; where the ids have been consecutive so far, it has to
/// go on with the next one.
///
/// \sa StreamCursor for streams whose ids are known to be consecutive
class EventOrder
{
public:
    enum class Disposition {
        Deliver,
        Skip, ///< The caller has it already.
        Gap, ///< The resumed stream left out events: not to be delivered.
        Disorder, ///< It should have come before one that this connection brought.
    };

    /// \param last event that the caller had before; the stream goes on behind it.
    explicit EventOrder(std::optional<std::int64_t> last = {}) : m_last(last) { }

    /// \brief Notes that what follows comes on a new connection.
    void beginConnection();

    /// \param id of the next event; an event without one has no place in the order.
    Disposition take(std::optional<std::int64_t> id);

    /// \returns the last event that the caller has.
    std::optional<std::int64_t> last() const { return m_last; }

    /// \returns whether an event that the caller does not have belongs before one that it has.
    bool hasLostEvent() const { return m_hasLostEvent; }

private:
    bool continues(std::int64_t id) const;

    std::optional<std::int64_t> m_last;
    std::optional<std::int64_t> m_lastOnConnection; ///< Last id of the connection at hand.
    bool m_delivered = false; ///< Something on any connection.
    bool m_deliveredOnConnection = false; ///< Something on the connection at hand.
    bool m_consecutive = true; ///< All ids delivered so far.
    bool m_hasLostEvent = false;
};

} // namespace catkinloft
