#pragma once

#include <cstddef>

namespace catkinloft {

/// \brief Limits the memory that the buffered answers of all calls take together.
///
/// Handles upstreams that send bytes without end on many connections at a time. Prevents that the
/// process exceeds its memory and is killed with all requests that it has in progress.
///
/// An answer may only grow to as much as is left for all others. Short answers fit even if long
/// ones take most of the memory, and the longest ones are ended first.
class AnswerBuffers
{
public:
    /// A single answer can take half of it; the longest ones are the lists of engines.
    static constexpr std::size_t DefaultLimit = std::size_t(128) * 1024 * 1024;

    explicit AnswerBuffers(std::size_t limit = DefaultLimit) : m_limit(limit) { }

    /// \brief The part of one answer; empty again when it is destroyed.
    class Share
    {
    public:
        explicit Share(AnswerBuffers &buffers) : m_buffers(buffers) { }
        ~Share() { m_buffers.m_used -= m_size; }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// \brief Sets the number of buffered bytes of the answer.
        /// \returns false if they exceed what is left; the answer must be given up then.
        bool resize(std::size_t size);

    private:
        AnswerBuffers &m_buffers;
        std::size_t m_size = 0;
    };

    std::size_t used() const { return m_used; }
    std::size_t limit() const { return m_limit; }

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace catkinloft
