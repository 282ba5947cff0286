#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief One server-sent event.
struct SseEvent
{
    /// As received, with the empty line that ends it. A byte order mark is left out if events were
    /// received on an earlier connection: within a stream it would be part of a field's name.
    std::string_view text;
    std::optional<std::int64_t> id = {}; ///< Number of the token; empty for heartbeats.
    bool hasData = false; ///< Whether it has a field `data`; comments and heartbeats have none.
    bool isEnd = false; ///< Whether this is the marker after the last token.
};

/// \brief Splits a stream of bytes into server-sent events, by the grammar of `text/event-stream`:
/// lines end with CR, LF or both, and a field's value follows the colon and at most one space.
/// Buffers an incomplete event, so that callers receive whole events only. Does no I/O.
class SseReader
{
public:
    using Receiver = std::function<void(const SseEvent &)>;

    /// \brief Calls \a receive for each event that is complete with \a data. All events together
    /// are the bytes of the stream.
    /// \param data next bytes of the stream, in pieces of any length.
    /// \returns false if an incomplete event exceeds the maximum size.
    bool feed(std::string_view data, const Receiver &receive);

    /// \returns whether an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }

    /// \returns the size of the incomplete event that is buffered.
    std::size_t bufferedBytes() const { return m_partialEvent.size(); }

    /// \brief Discards an incomplete event after the connection broke. The next bytes are the first
    /// ones of another connection.
    void reset();

private:
    SseEvent parse(std::string_view text);

    std::string m_partialEvent;
    std::size_t m_lineBegin = 0; ///< Of the incomplete line, within m_partialEvent.
    std::size_t m_scanned = 0; ///< Bytes of m_partialEvent without another end of a line.
    bool m_endedWithCr = false; ///< An LF that follows belongs to the last line.
    bool m_isFirstOfConnection = true; ///< The next event is the first one of its connection.
    bool m_isFirstOfStream = true; ///< No event was received on any connection.
};

} // namespace catkinloft
