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
    std::string_view text; ///< As received, with the empty line that ends it.
    std::optional<std::int64_t> id = {}; ///< Number of the token; empty for heartbeats.
    bool isEnd = false; ///< Whether this is the marker after the last token.
};

/// \brief Splits a stream of bytes into server-sent events. Buffers an incomplete event, so that
/// callers receive whole events only. Does no I/O.
class SseReader
{
public:
    using Receiver = std::function<void(const SseEvent &)>;

    /// \brief Calls \a receive for each event that is complete with \a data.
    /// \param data next bytes of the stream, in pieces of any length.
    /// \returns false if an incomplete event exceeds the maximum size.
    bool feed(std::string_view data, const Receiver &receive);

    /// \returns whether an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }

    /// \brief Discards an incomplete event after the connection broke.
    void reset() { m_partialEvent.clear(); }

private:
    std::string m_partialEvent;
};

} // namespace catkinloft
