#include "Net/internal/RequestScanner.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include <strings.h>

namespace catkinloft::internal {

namespace {

/// Memory of a header line besides its text: an evkeyval and two strings, each with the overhead of
/// an allocation.
constexpr std::size_t HeaderLineMemory = 112;

/// Empty lines that are accepted between two chunks; there should be one.
constexpr std::size_t MaxBlankLines = 16;

/// Methods for which evhttp reads a body.
constexpr std::array<std::string_view, 7> MethodsWithBody = {"GET",     "POST",    "PUT",  "DELETE",
                                                             "OPTIONS", "CONNECT", "PATCH"};

constexpr int BadRequest = 400;
constexpr int ContentTooLarge = 413;
constexpr int ExpectationFailed = 417;

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view trimmedEnd(std::string_view text)
{
    const std::size_t last = text.find_last_not_of(" \t");
    return last == std::string_view::npos ? std::string_view() : text.substr(0, last + 1);
}

std::string_view trimmed(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    return trimmedEnd(text);
}

} // namespace

std::size_t RequestScanner::parsedHeadBytes() const
{
    return m_headerBytes + m_lines * HeaderLineMemory;
}

/// Takes the rest of the current line from \a text. \returns whether its end was found.
bool RequestScanner::takeLine(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    const std::string_view part = text.substr(0, end);
    m_line.text += part.substr(0, KeptLineBytes - std::min(KeptLineBytes, m_line.text.size()));
    m_line.bytes += part.size();
    if (!part.empty())
        m_line.endsWithReturn = part.back() == '\r';
    text.remove_prefix(end == std::string_view::npos ? part.size() : end + 1);
    return end != std::string_view::npos;
}

std::string_view RequestScanner::lineText() const
{
    const std::string_view text = m_line.text;
    return text.substr(0, std::min(text.size(), lineBytes()));
}

void RequestScanner::endLine()
{
    m_line.text.clear();
    m_line.bytes = 0;
    m_line.endsWithReturn = false;
}

void RequestScanner::reject(int status)
{
    m_state = State::Rejected;
    m_rejectStatus = status;
}

std::size_t RequestScanner::readHead(std::string_view text)
{
    const std::size_t before = text.size();
    while (m_state == State::Head && !text.empty()) {
        if (takeLine(text)) {
            readHeadLine();
            endLine();
        }
        checkHeaderBytes();
    }
    return before - text.size();
}

void RequestScanner::checkHeaderBytes()
{
    if (m_headerBytes + lineBytes() > m_limits.headerBytes)
        reject(BadRequest);
}

void RequestScanner::readHeadLine()
{
    const std::string_view line = lineText();
    m_headerBytes += lineBytes();
    // evhttp takes a line for the text before its first zero byte.
    if (line.find('\0') != std::string_view::npos)
        reject(BadRequest);
    else if (m_lines == 0)
        readRequestLine(line);
    else if (line.empty())
        endHead();
    else
        readHeader(line);
    ++m_lines;
}

void RequestScanner::readRequestLine(std::string_view line)
{
    const std::string_view method = line.substr(0, line.find(' '));
    m_mayHaveBody = std::find(MethodsWithBody.begin(), MethodsWithBody.end(), method)
            != MethodsWithBody.end();
    if (line.size() < lineBytes())
        return; // The version was not kept.
    line = trimmedEnd(line);
    const std::size_t mark = line.rfind(' ');
    if (mark == std::string_view::npos || !line.substr(mark + 1).starts_with("HTTP/1."))
        reject(BadRequest);
    m_isFirstVersion = line.ends_with("HTTP/1.0");
}

void RequestScanner::readHeader(std::string_view line)
{
    // A folded line changes the value of the header before it.
    if (line.front() == ' ' || line.front() == '\t') {
        if (m_isFramingLine || m_lines == 1)
            reject(BadRequest);
        return;
    }
    const std::size_t colon = line.find(':');
    const bool isComplete = line.size() == lineBytes();
    if (colon == std::string_view::npos) {
        if (isComplete)
            reject(BadRequest);
        m_isFramingLine = false;
        return;
    }
    readFraming(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    if (m_isFramingLine && !isComplete)
        reject(BadRequest);
}

void RequestScanner::readFraming(std::string_view name, std::string_view value)
{
    m_isFramingLine = true;
    if (equalsIgnoringCase(name, "Content-Length")) {
        if (!m_hasLength)
            m_length = value;
        m_hasLength = true;
    } else if (equalsIgnoringCase(name, "Transfer-Encoding")) {
        if (!m_hasEncoding)
            m_isChunked = equalsIgnoringCase(value, "chunked");
        m_hasEncoding = true;
    } else if (equalsIgnoringCase(name, "Expect")) {
        if (!m_hasExpectation)
            m_expectsContinue = equalsIgnoringCase(value, "100-continue");
        m_hasExpectation = true;
    } else {
        m_isFramingLine = false;
    }
}

void RequestScanner::endHead()
{
    m_state = State::Complete;
    if (!m_mayHaveBody)
        return;
    if (m_isChunked)
        m_state = State::Chunks;
    else if (m_hasLength)
        readLength();
    const bool hasBody = m_state == State::Chunks || m_state == State::Body;
    if (!hasBody || m_isFirstVersion)
        m_expectsContinue = false;
    else if (m_hasExpectation && !m_expectsContinue)
        reject(ExpectationFailed);
}

void RequestScanner::readLength()
{
    char *end = nullptr;
    const long long length = std::strtoll(m_length.c_str(), &end, 10);
    const bool isValid = !m_length.empty() && *end == '\0' && length >= 0;
    if (!isValid)
        reject(BadRequest);
    else if (static_cast<unsigned long long>(length) > m_limits.bodyBytes)
        reject(ContentTooLarge);
    else if (length > 0)
        m_state = State::Body;
    m_bodyBytes = m_state == State::Body ? static_cast<std::size_t>(length) : 0;
}

std::size_t RequestScanner::readChunks(std::string_view text, const Sink &sink)
{
    const std::size_t before = text.size();
    while (m_state == State::Chunks && !text.empty()) {
        if (m_part == ChunkPart::Data) {
            const std::string_view data = text.substr(0, m_chunkLeft);
            sink.body(data);
            text.remove_prefix(data.size());
            m_chunkLeft -= data.size();
            if (m_chunkLeft == 0)
                m_part = ChunkPart::Size;
            continue;
        }
        const std::string_view rest = text;
        const bool isComplete = takeLine(text);
        if (m_part == ChunkPart::Trailer)
            sink.trailer(rest.substr(0, rest.size() - text.size()));
        if (m_part == ChunkPart::Size && m_line.bytes > KeptLineBytes)
            reject(BadRequest);
        else if (isComplete)
            m_part == ChunkPart::Size ? readSizeLine() : readTrailerLine();
        if (isComplete)
            endLine();
        if (m_part == ChunkPart::Trailer)
            checkHeaderBytes();
    }
    return before - text.size();
}

void RequestScanner::readTrailerLine()
{
    m_headerBytes += lineBytes();
    ++m_lines;
    if (lineText().find('\0') != std::string_view::npos)
        reject(BadRequest);
    else if (lineBytes() == 0)
        m_state = State::Complete;
}

void RequestScanner::readSizeLine()
{
    const std::string line(lineText());
    if (line.empty()) {
        if (++m_blankLines > MaxBlankLines)
            reject(BadRequest);
        return;
    }
    m_blankLines = 0;
    char *end = nullptr;
    const long long size = std::strtoll(line.c_str(), &end, 16);
    if (line.find('\0') != std::string::npos || (*end != '\0' && *end != ' ') || size < 0)
        return reject(BadRequest);
    if (static_cast<unsigned long long>(size) > m_limits.bodyBytes - m_bodyBytes)
        return reject(ContentTooLarge);
    m_chunkLeft = static_cast<std::size_t>(size);
    m_bodyBytes += m_chunkLeft;
    m_part = size == 0 ? ChunkPart::Trailer : ChunkPart::Data;
}

} // namespace catkinloft::internal
