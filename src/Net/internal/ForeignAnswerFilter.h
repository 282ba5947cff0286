#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

struct evbuffer;

namespace catkinloft::internal {

/// \brief Removes answers to other requests from the input of a connection, until the own one.
///
/// An upstream may send an answer twice. The copy arrives where the next answer is due and bears
/// the id of the request that it answers. evhttp takes the first answer that it reads for that to
/// the request in progress, so others are removed before it reads them.
class ForeignAnswerFilter
{
public:
    struct Options
    {
        std::string header; ///< Name of the header that contains the id.
        std::string id; ///< Of the own request.
        /// Of the last HEAD request on the connection, whose answer has no body whatever its
        /// length.
        std::string headId = {};
        std::size_t maxBytes = 0; ///< Limit of all foreign answers together.
    };

    explicit ForeignAnswerFilter(Options options);
    ~ForeignAnswerFilter();
    ForeignAnswerFilter(const ForeignAnswerFilter &) = delete;
    ForeignAnswerFilter &operator=(const ForeignAnswerFilter &) = delete;

    /// \brief Removes what is foreign from \a input, and an incomplete head until its rest arrives.
    /// \returns whether what is left in \a input, and all that arrives later, may be read.
    bool filter(evbuffer *input);

    /// \returns the number of foreign answers, of which the last may be incomplete.
    std::size_t discarded() const { return m_discarded; }

    /// \returns whether the foreign answers are malformed or over a limit. Nothing more can be told
    /// apart then.
    bool hasFailed() const { return m_hasFailed; }

    /// \returns the bytes of an incomplete head or line that was removed.
    std::size_t heldBytes() const;

    /// \returns whether a part of a head was removed that may be that of the own answer.
    bool holdsHead() const { return m_body == Body::None && heldBytes() > 0; }

private:
    enum class Body { None, Length, ChunkSize, ChunkData, ChunkEnd, Trailer };

    struct Deleter
    {
        void operator()(evbuffer *it) const;
    };

    bool readHead(evbuffer *input);
    bool isForeign(std::string_view head, int status);
    void beginBody(std::string_view head, int status);
    bool discardBody(evbuffer *input);
    void skipBytes(evbuffer *input, Body next);
    void readChunkLine(std::string_view line);
    void drain(evbuffer *input, std::size_t n);

    Options m_options;
    std::unique_ptr<evbuffer, Deleter> m_held;
    std::size_t m_searched = 0; ///< Bytes of the held head that don't contain its end.
    Body m_body = Body::None; ///< What comes next of a foreign answer.
    std::size_t m_left = 0; ///< Bytes of the body, or of the chunk, that are still to come.
    std::size_t m_discarded = 0;
    std::size_t m_drained = 0; ///< Bytes of all foreign answers.
    bool m_hasFailed = false;
};

} // namespace catkinloft::internal
