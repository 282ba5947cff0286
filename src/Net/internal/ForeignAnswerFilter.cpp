#include "Net/internal/ForeignAnswerFilter.h"

#include "Base/Log.h"
#include "Net/internal/StatusLineCheck.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <strings.h>
#include <utility>

#include <event2/buffer.h>

namespace catkinloft::internal {

namespace {

/// Longer heads are left to evhttp, which rejects them.
constexpr std::size_t MaxHeadBytes = 64 * 1024;

/// Longest line with the size of a chunk and its extensions.
constexpr std::size_t MaxChunkLineBytes = 16 * 1024;

/// Foreign answers before the own one. More of them show that the upstream is out of step.
constexpr std::size_t MaxDiscarded = 16;

constexpr int Continue = 100;
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
/// \param from where the search for its end begins.
std::string_view headOf(std::string_view text, std::size_t from)
{
    while ((from = text.find('\n', from)) != std::string_view::npos) {
        const std::string_view next = text.substr(++from);
        if (next.starts_with('\n'))
            return text.substr(0, from + 1);
        if (next.starts_with("\r\n"))
            return text.substr(0, from + 2);
    }
    return {};
}

/// \returns \a text without the white space that evhttp removes from values too.
std::string_view trimmed(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    return text.substr(0, text.find_last_not_of(" \t") + 1);
}

/// \returns the value of the header \a name in \a head, if it is there.
std::optional<std::string_view> valueOf(std::string_view head, std::string_view name)
{
    while (const std::optional<std::string_view> line = takeLine(head)) {
        if (line->size() <= name.size() || (*line)[name.size()] != ':'
            || strncasecmp(line->data(), name.data(), name.size()) != 0)
            continue;
        return trimmed(line->substr(name.size() + 1));
    }
    return std::nullopt;
}

bool isChunked(std::string_view head)
{
    constexpr std::string_view Chunked = "chunked";
    const std::string_view it = valueOf(head, "Transfer-Encoding").value_or("");
    return it.size() == Chunked.size() && strncasecmp(it.data(), Chunked.data(), it.size()) == 0;
}

/// \returns the number at the begin of \a text, if \a isWhole all of it; std::nullopt if there is
/// none.
std::optional<std::size_t> numberOf(std::string_view text, int base, bool isWhole)
{
    std::size_t out = 0;
    const char *last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, out, base);
    if (ec != std::errc() || (isWhole && end != last))
        return std::nullopt;
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

ForeignAnswerFilter::ForeignAnswerFilter(Options options)
    : m_options(std::move(options)), m_held(evbuffer_new())
{ }

ForeignAnswerFilter::~ForeignAnswerFilter() = default;

std::size_t ForeignAnswerFilter::heldBytes() const
{
    return evbuffer_get_length(m_held.get());
}

bool ForeignAnswerFilter::filter(evbuffer *input)
{
    evbuffer_prepend_buffer(input, m_held.get());
    while (!m_hasFailed && discardBody(input)) {
        const std::size_t before = m_drained;
        if (readHead(input))
            return true;
        if (m_drained == before)
            break; // The rest of the head is missing.
    }
    evbuffer_add_buffer(m_held.get(), input);
    return false;
}

void ForeignAnswerFilter::drain(evbuffer *input, std::size_t n)
{
    evbuffer_drain(input, n);
    m_drained += n;
    if (m_drained > m_options.maxBytes)
        m_hasFailed = true;
}

/// \returns whether the answer at the begin of \a input may be read.
bool ForeignAnswerFilter::readHead(evbuffer *input)
{
    const std::string_view text = contentOf(input);
    const std::string_view head = headOf(text, std::exchange(m_searched, 0));
    if (head.empty()) {
        // The end may begin with the last two bytes.
        m_searched = text.size() - std::min<std::size_t>(text.size(), 2);
        return text.size() > MaxHeadBytes;
    }
    const std::optional<int> status = StatusLineCheck::statusOf(head);
    if (!status)
        return true; // The receiver rejects it.
    // evhttp reads on after this interim answer too.
    const bool isInterim = *status == Continue;
    if (!isInterim && !isForeign(head, *status))
        return true;
    if (!isInterim)
        beginBody(head, *status);
    drain(input, head.size());
    return false;
}

/// An answer without an id is left to the receiver, and so is one that ends with its connection.
bool ForeignAnswerFilter::isForeign(std::string_view head, int status)
{
    const std::optional<std::string_view> id = valueOf(head, m_options.header);
    const bool isFramed = valueOf(head, "Content-Length") || isChunked(head) || status == NoContent
            || status == NotModified;
    if (!id || id->empty() || *id == m_options.id || !isFramed)
        return false;
    if (++m_discarded > MaxDiscarded)
        m_hasFailed = true;
    if (m_discarded == 1)
        Log::warning("foreign_answer_discarded",
                     {{"request_id", m_options.id},
                      {"answer_id", std::string(*id)},
                      {"status", status}});
    return true;
}

void ForeignAnswerFilter::beginBody(std::string_view head, int status)
{
    m_left = 0;
    m_body = Body::Length;
    const bool answersHead = !m_options.headId.empty()
            && valueOf(head, m_options.header) == std::string_view(m_options.headId);
    if (status == NoContent || status == NotModified || answersHead)
        return;
    if (isChunked(head)) {
        m_body = Body::ChunkSize;
        return;
    }
    const auto length = numberOf(valueOf(head, "Content-Length").value_or(""), 10, true);
    m_hasFailed = m_hasFailed || !length;
    m_left = length.value_or(0);
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
        if (!line) {
            m_hasFailed = m_hasFailed || n > MaxChunkLineBytes;
            return false;
        }
        readChunkLine(*line);
        drain(input, n - text.size());
        if (m_hasFailed)
            return false;
    }
    return true;
}

void ForeignAnswerFilter::skipBytes(evbuffer *input, Body next)
{
    const std::size_t n = std::min(m_left, evbuffer_get_length(input));
    drain(input, n);
    m_left -= n;
    if (m_left == 0)
        m_body = next;
}

void ForeignAnswerFilter::readChunkLine(std::string_view line)
{
    if (m_body == Body::ChunkEnd) {
        m_body = Body::ChunkSize;
    } else if (m_body == Body::ChunkSize) {
        const auto size = numberOf(line, 16, false);
        m_hasFailed = m_hasFailed || !size;
        m_left = size.value_or(0);
        m_body = m_left > 0 ? Body::ChunkData : Body::Trailer;
    } else if (line.empty()) {
        m_body = Body::None;
    }
}

} // namespace catkinloft::internal
