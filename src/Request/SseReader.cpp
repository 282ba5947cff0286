#include "Request/SseReader.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace catkinloft {

namespace {

constexpr std::string_view LineEnds = "\r\n";
constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view EndMarker = "[DONE]";

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

void readField(std::string_view line, SseEvent &out)
{
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(std::min(colon + 1, line.size()));
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "id") {
        // The grammar ignores an id with NUL.
        if (value.find('\0') == value.npos)
            out.id = numberOf(value);
    } else if (name == "data") {
        out.isEnd = !out.hasData && value == EndMarker;
        out.hasData = true;
    }
}

} // namespace

SseEvent SseReader::parse(std::string_view text)
{
    SseEvent out{.text = text};
    const bool isFirstOfStream = std::exchange(m_isFirstOfStream, false);
    if (std::exchange(m_isFirstOfConnection, false) && text.starts_with(ByteOrderMark)) {
        text.remove_prefix(ByteOrderMark.size());
        if (!isFirstOfStream)
            out.text = text;
    }
    while (!text.empty()) {
        const std::size_t end = std::min(text.find_first_of(LineEnds), text.size());
        readField(text.substr(0, end), out);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return out;
}

bool SseReader::feed(std::string_view data, const Receiver &receive)
{
    // Most pieces consist of whole events, which need no copy.
    std::string joined;
    if (!m_partialEvent.empty()) {
        joined = std::exchange(m_partialEvent, {});
        joined += data;
        data = joined;
    }
    std::size_t eventBegin = 0;
    std::size_t lineBegin = std::exchange(m_lineBegin, 0);
    std::size_t at = std::exchange(m_scanned, 0);
    while (at < data.size()) {
        if (std::exchange(m_endedWithCr, false) && data[at] == '\n') {
            lineBegin = ++at;
            // The event that the line ended was received before.
            if (at - eventBegin == 1) {
                receive({.text = data.substr(eventBegin, 1)});
                eventBegin = at;
            }
            continue;
        }
        const std::size_t end = data.find_first_of(LineEnds, at);
        if (end == std::string_view::npos)
            break;
        at = end + 1;
        m_endedWithCr = data[end] == '\r';
        if (m_endedWithCr && at < data.size() && data[at] == '\n') {
            ++at;
            m_endedWithCr = false;
        }
        const std::string_view line = data.substr(lineBegin, end - lineBegin);
        const bool isMark =
                m_isFirstOfConnection && lineBegin == eventBegin && line == ByteOrderMark;
        lineBegin = at;
        if (!line.empty() && !isMark)
            continue;
        receive(parse(data.substr(eventBegin, at - eventBegin)));
        eventBegin = at;
    }
    m_partialEvent = data.substr(eventBegin);
    m_lineBegin = std::max(lineBegin, eventBegin) - eventBegin;
    m_scanned = m_partialEvent.size();
    return m_partialEvent.size() <= MaxEventBytes;
}

void SseReader::reset()
{
    m_partialEvent.clear();
    m_lineBegin = 0;
    m_scanned = 0;
    m_endedWithCr = false;
    m_isFirstOfConnection = true;
}

} // namespace catkinloft
