#include "Net/internal/ForeignAnswerFilter.h"

#include "Base/Log.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <strings.h>

#include <event2/buffer.h>

namespace catkinloft::internal {

namespace {

/// Longer heads are left to evhttp, which rejects them.
constexpr std::size_t MaxHeadBytes = 64 * 1024;

constexpr int NoContent = 204;
constexpr int NotModified = 304;

/// \returns the next line of \a text without its end, and removes it; std::nullopt if its end is
/// missing.
std::optional<std::string_view> takeLine(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos)
        return std::nullopt;
    std::string_view out = text.substr(0, end);
    text.remove_prefix(end + 1);
    if (out.ends_with('\r'))
        out.remove_suffix(1);
    return out;
}

/// \returns the head at the begin of \a text with the empty line that ends it, or an empty text if
/// that is missing.
std::string_view headOf(std::string_view text)
{
    std::string_view rest = text;
    while (const std::optional<std::string_view> line = takeLine(rest)) {
        if (line->empty())
            return text.substr(0, text.size() - rest.size());
    }
    return {};
}

/// \returns the value of the header \a name in \a head, if it is there.
std::optional<std::string_view> valueOf(std::string_view head, std::string_view name)
{
    while (const std::optional<std::string_view> line = takeLine(head)) {
        if (line->size() <= name.size() || (*line)[name.size()] != ':'
            || strncasecmp(line->data(), name.data(), name.size()) != 0)
            continue;
        std::string_view out = line->substr(name.size() + 1);
        while (!out.empty() && out.front() == ' ')
            out.remove_prefix(1);
        while (!out.empty() && out.back() == ' ')
            out.remove_suffix(1);
        return out;
    }
    return std::nullopt;
}

/// \returns the status in the first line of \a head, 0 if it is unreadable.
int statusOf(std::string_view head)
{
    const std::size_t space = head.find(' ');
    int out = 0;
    if (space != std::string_view::npos)
        std::from_chars(head.data() + space + 1, head.data() + head.size(), out);
    return out;
}

std::string_view contentOf(evbuffer *buf)
{
    const std::size_t n = evbuffer_get_length(buf);
    if (n == 0)
        return {};
    return {reinterpret_cast<const char *>(evbuffer_pullup(buf, -1)), n};
}

} // namespace

void ForeignAnswerFilter::Deleter::operator()(evbuffer *it) const
{
    evbuffer_free(it);
}

ForeignAnswerFilter::ForeignAnswerFilter(std::string name, std::string id)
    : m_name(std::move(name)), m_id(std::move(id)), m_held(evbuffer_new())
{ }

ForeignAnswerFilter::~ForeignAnswerFilter() = default;

std::size_t ForeignAnswerFilter::heldBytes() const
{
    return evbuffer_get_length(m_held.get());
}

bool ForeignAnswerFilter::filter(evbuffer *input)
{
    evbuffer_prepend_buffer(input, m_held.get());
    while (discardBody(input)) {
        if (readHead(input))
            return true;
        if (m_body == Body::None)
            break; // The rest of the head is missing.
    }
    evbuffer_add_buffer(m_held.get(), input);
    return false;
}

/// \returns whether the answer at the begin of \a input may be read.
bool ForeignAnswerFilter::readHead(evbuffer *input)
{
    const std::string_view text = contentOf(input);
    const std::string_view head = headOf(text);
    if (head.empty())
        return text.size() > MaxHeadBytes;
    if (!isForeign(head))
        return true;
    ++m_discarded;
    beginBody(head);
    evbuffer_drain(input, head.size());
    return false;
}

/// An answer without an id is left to the receiver, and so is one that ends with its connection.
bool ForeignAnswerFilter::isForeign(std::string_view head)
{
    const std::optional<std::string_view> id = valueOf(head, m_name);
    const int status = statusOf(head);
    const bool isFramed = valueOf(head, "Content-Length") || valueOf(head, "Transfer-Encoding")
            || status == NoContent || status == NotModified;
    if (!id || id->empty() || *id == m_id || !isFramed)
        return false;
    Log::warning("foreign_answer_discarded",
                 {{"request_id", m_id}, {"answer_id", std::string(*id)}, {"status", status}});
    return true;
}

void ForeignAnswerFilter::beginBody(std::string_view head)
{
    const int status = statusOf(head);
    m_left = 0;
    m_body = Body::Length;
    if (status == NoContent || status == NotModified)
        return;
    if (valueOf(head, "Transfer-Encoding")) {
        m_body = Body::ChunkSize;
        return;
    }
    const std::string_view length = valueOf(head, "Content-Length").value_or("");
    std::from_chars(length.data(), length.data() + length.size(), m_left);
}

/// \returns whether the foreign answer, if there is one, has ended.
bool ForeignAnswerFilter::discardBody(evbuffer *input)
{
    while (m_body != Body::None) {
        if (m_body == Body::Length || m_body == Body::ChunkData) {
            skipBytes(input, m_body == Body::Length ? Body::None : Body::ChunkEnd);
            if (m_left > 0)
                return false;
            continue;
        }
        std::string_view text = contentOf(input);
        const std::size_t n = text.size();
        const std::optional<std::string_view> line = takeLine(text);
        if (!line)
            return false;
        readChunkLine(*line);
        evbuffer_drain(input, n - text.size());
    }
    return true;
}

void ForeignAnswerFilter::skipBytes(evbuffer *input, Body next)
{
    const std::size_t n = std::min(m_left, evbuffer_get_length(input));
    evbuffer_drain(input, n);
    m_left -= n;
    if (m_left == 0)
        m_body = next;
}

void ForeignAnswerFilter::readChunkLine(std::string_view line)
{
    if (m_body == Body::ChunkEnd) {
        m_body = Body::ChunkSize;
    } else if (m_body == Body::ChunkSize) {
        std::from_chars(line.data(), line.data() + line.size(), m_left, 16);
        m_body = m_left > 0 ? Body::ChunkData : Body::Trailer;
    } else if (line.empty()) {
        m_body = Body::None;
    }
}

} // namespace catkinloft::internal
