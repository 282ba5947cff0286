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
    /// \param name of the header that contains the id.
    /// \param id of the own request.
    ForeignAnswerFilter(std::string name, std::string id);
    ~ForeignAnswerFilter();
    ForeignAnswerFilter(const ForeignAnswerFilter &) = delete;
    ForeignAnswerFilter &operator=(const ForeignAnswerFilter &) = delete;

    /// \brief Removes what is foreign from \a input, and an incomplete head until its rest arrives.
    /// \returns whether what is left in \a input, and all that arrives later, may be read.
    bool filter(evbuffer *input);

    /// \returns the number of foreign answers, of which the last may be incomplete.
    std::size_t discarded() const { return m_discarded; }

    /// \returns the bytes of the incomplete head that was removed.
    std::size_t heldBytes() const;

private:
    enum class Body { None, Length, ChunkSize, ChunkData, ChunkEnd, Trailer };

    struct Deleter
    {
        void operator()(evbuffer *it) const;
    };

    bool readHead(evbuffer *input);
    bool isForeign(std::string_view head);
    void beginBody(std::string_view head);
    bool discardBody(evbuffer *input);
    void skipBytes(evbuffer *input, Body next);
    void readChunkLine(std::string_view line);

    std::string m_name;
    std::string m_id;
    std::unique_ptr<evbuffer, Deleter> m_held;
    Body m_body = Body::None; ///< What comes next of a foreign answer.
    std::size_t m_left = 0; ///< Bytes of the body, or of the chunk, that are still to come.
    std::size_t m_discarded = 0;
};

} // namespace catkinloft::internal
