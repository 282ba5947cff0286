#include "Request/SseReader.h"

#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace catkinloft;

namespace {

constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view EarlierConnection = "id: 1\ndata: a\n\n";

struct Event
{
    std::optional<std::int64_t> id;
    bool hasData = false;
    bool isEnd = false;

    bool operator==(const Event &) const = default;
};

[[noreturn]] void fail(const char *what)
{
    std::fprintf(stderr, "reader and reference differ: %s\n", what);
    std::abort();
}

std::optional<std::int64_t> numberOf(const std::string &text)
{
    const std::size_t digits = text.starts_with('-') ? 1 : 0;
    if (text.size() == digits || text.find_first_not_of("0123456789", digits) != text.npos)
        return std::nullopt;
    errno = 0;
    const long long n = std::strtoll(text.c_str(), nullptr, 10);
    return errno == 0 ? std::optional<std::int64_t>(n) : std::nullopt;
}

/// \brief Reads a whole stream at once, character by character, by the grammar of the HTML standard
/// (9.2.5, "Parsing an event stream").
class Reference
{
public:
    explicit Reference(std::string_view stream)
    {
        if (stream.starts_with(ByteOrderMark))
            stream.remove_prefix(ByteOrderMark.size());
        for (std::size_t i = 0; i < stream.size(); ++i) {
            if (stream[i] != '\r' && stream[i] != '\n') {
                m_line += stream[i];
                continue;
            }
            if (stream[i] == '\r' && i + 1 < stream.size() && stream[i + 1] == '\n')
                ++i;
            endLine();
        }
    }

    const std::vector<Event> &events() const { return m_events; }

private:
    void endLine()
    {
        if (m_line.empty()) {
            m_event.isEnd = m_data == "[DONE]\n";
            m_events.push_back(m_event);
            m_event = {};
            m_data.clear();
            return;
        }
        std::string name;
        std::string value;
        bool isValue = false;
        for (const char c : m_line) {
            if (isValue)
                value += c;
            else if (c == ':')
                isValue = true;
            else
                name += c;
        }
        if (!value.empty() && value.front() == ' ')
            value.erase(0, 1);
        if (name == "data") {
            m_event.hasData = true;
            m_data += value + "\n";
        } else if (name == "id" && value.find('\0') == value.npos) {
            m_event.id = numberOf(value);
        }
        m_line.clear();
    }

    std::string m_line;
    std::string m_data;
    Event m_event;
    std::vector<Event> m_events;
};

} // namespace

/// The first byte says whether the stream goes on after an earlier connection, the second one how
/// the rest, which is the stream, is divided.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2)
        return 0;
    const std::string_view stream(reinterpret_cast<const char *>(data) + 2, size - 2);
    const bool isResumed = data[0] % 2 == 1;
    SseReader reader;
    std::string read;
    std::vector<Event> events;
    const auto receive = [&](const SseEvent &it) {
        // The LF of a line whose CR ended the event before.
        const bool isRest = it.text == "\n" && read.ends_with('\r');
        read += it.text;
        if (!isRest)
            events.push_back({.id = it.id, .hasData = it.hasData, .isEnd = it.isEnd});
    };
    if (isResumed) {
        reader.feed(EarlierConnection, [](const SseEvent &) {});
        reader.reset();
    }
    std::uint32_t random = data[1];
    for (std::size_t at = 0; at < stream.size();) {
        random = random * 1664525 + 1013904223;
        const std::size_t n = 1 + (random >> 16) % (data[1] % 16 + 1);
        if (!reader.feed(stream.substr(at, n), receive))
            fail("a short event is refused");
        at += n;
    }
    if (events != Reference(stream).events())
        fail("events");
    std::string_view expected = stream;
    const std::size_t rest = reader.bufferedBytes();
    if (isResumed && !events.empty() && expected.starts_with(ByteOrderMark))
        expected.remove_prefix(ByteOrderMark.size());
    if (read.size() + rest != expected.size() || !expected.starts_with(read))
        fail("bytes");
    if (reader.hasPartialEvent() != (rest > 0))
        fail("incomplete event");
    return 0;
}
