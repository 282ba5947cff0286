#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace catkinloft::internal {

/// \brief Finds the end of one request in the bytes of a connection, as evhttp does.
///
/// It takes little memory whatever is sent, so that a request needs to be parsed only when all of
/// it has arrived. Only what decides where a request ends is checked; evhttp checks the rest.
class RequestScanner
{
public:
    struct Limits
    {
        std::size_t headerBytes = 0; ///< Of all lines without their ends, as evhttp counts them.
        std::size_t bodyBytes = 0;
    };

    /// Receives parts of a body in chunks.
    struct Sink
    {
        std::function<void(std::string_view)> body; ///< Called without the framing.
        std::function<void(std::string_view)> trailer; ///< Called with the ends of lines.
    };

    enum class State : std::uint8_t {
        Head,
        Body, ///< bodyBytes() follow.
        Chunks,
        Complete,
        Rejected, ///< Malformed or over a limit. \sa rejectStatus()
    };

    explicit RequestScanner(Limits limits) : m_limits(limits) { }

    /// \brief Reads the next bytes of the head.
    /// \returns how many of them belong to it.
    std::size_t readHead(std::string_view text);

    /// \brief Reads the next bytes of a body in chunks.
    /// \returns how many of them belong to it.
    std::size_t readChunks(std::string_view text, const Sink &sink);

    State state() const { return m_state; }
    int rejectStatus() const { return m_rejectStatus; } ///< HTTP status code.
    bool isStarted() const { return m_headerBytes + m_line.bytes > 0; }
    bool expectsContinue() const { return m_expectsContinue; }

    /// \returns the length of the body as the head states it, or the sum of the chunks so far.
    std::size_t bodyBytes() const { return m_bodyBytes; }

    /// \returns the memory that evhttp takes for the lines of head and trailer.
    std::size_t parsedHeadBytes() const;

private:
    enum class ChunkPart : std::uint8_t { Size, Data, Trailer };

    struct Line
    {
        std::string text = {}; ///< At most KeptLineBytes of it.
        std::size_t bytes = 0;
        bool endsWithReturn = false;
    };

    /// Longer than any line that matters for where a request ends.
    static constexpr std::size_t KeptLineBytes = 1024;

    bool takeLine(std::string_view &text);
    std::string_view lineText() const;
    std::size_t lineBytes() const { return m_line.bytes - (m_line.endsWithReturn ? 1 : 0); }
    void endLine();
    void readHeadLine();
    void readRequestLine(std::string_view line);
    void readHeader(std::string_view line);
    void readFraming(std::string_view name, std::string_view value);
    void endHead();
    void readLength();
    void readSizeLine();
    void readTrailerLine();
    void checkHeaderBytes();
    void reject(int status);

    Limits m_limits;
    State m_state = State::Head;
    int m_rejectStatus = 0;
    ChunkPart m_part = ChunkPart::Size;
    Line m_line;
    std::size_t m_lines = 0;
    std::size_t m_headerBytes = 0; ///< Of complete lines.
    std::size_t m_bodyBytes = 0;
    std::size_t m_chunkLeft = 0;
    std::size_t m_blankLines = 0; ///< Since the last chunk.
    bool m_mayHaveBody = false;
    bool m_isFirstVersion = false; ///< HTTP/1.0
    bool m_isFramingLine = false; ///< Whether the last header states where the body ends.
    bool m_isChunked = false;
    bool m_expectsContinue = false;
    // evhttp uses the first header of each name.
    bool m_hasEncoding = false;
    bool m_hasExpectation = false;
    bool m_hasLength = false;
    std::string m_length;
};

} // namespace catkinloft::internal
