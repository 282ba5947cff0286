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
    std::optional<std::int64_t> id = {}; ///< Number of the token; missing for heartbeats.
    bool isEnd = false; ///< The marker after the last token.
};

/// \brief Cuts a stream of bytes into events. Knows no sockets; part of an event waits for its
/// rest, so that a caller is only ever sent whole events.
class SseReader
{
public:
    using Receiver = std::function<void(const SseEvent &)>;

    /// \param data in pieces of any length.
    /// \returns false where an event is longer than any token can be.
    bool feed(std::string_view data, const Receiver &receive);

    /// \returns whether part of an event is waiting for its rest.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }

    /// \brief Drops the part of an event that a broken connection left.
    void reset() { m_partialEvent.clear(); }

private:
    std::string m_partialEvent;
};

} // namespace catkinloft
