#include "Request/SseReader.h"

#include <charconv>

namespace catkinloft {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view EndMarker = "data: [DONE]";
constexpr std::string_view IdField = "id: ";

/// Maximum size of an event, which bounds the memory of a stream. A token with its probabilities
/// takes a few kilobytes.
constexpr std::size_t MaxEventBytes = 256 * 1024;

std::optional<std::int64_t> numberOf(std::string_view text)
{
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

SseEvent parse(std::string_view text)
{
    SseEvent out{.text = text};
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        if (line.starts_with(IdField))
            out.id = numberOf(line.substr(IdField.size()));
        else if (line == EndMarker)
            out.isEnd = true;
        text.remove_prefix(std::min(line.size() + 1, text.size()));
    }
    return out;
}

} // namespace

bool SseReader::feed(std::string_view data, const Receiver &receive)
{
    // Most pieces consist of whole events, which need no copy.
    std::string joined;
    if (!m_partialEvent.empty()) {
        joined = std::move(m_partialEvent);
        joined += data;
        m_partialEvent.clear();
        data = joined;
    }
    for (std::size_t end = data.find(EventEnd); end != std::string_view::npos;
         end = data.find(EventEnd)) {
        const std::size_t n = end + EventEnd.size();
        receive(parse(data.substr(0, n)));
        data.remove_prefix(n);
    }
    m_partialEvent = data;
    return m_partialEvent.size() <= MaxEventBytes;
}

} // namespace catkinloft
