#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <string>

namespace catkinloft {

/// \brief A caller on a kept connection that reads its answers at a limited rate.
///
/// Its receive buffer and its segments are small, so that the buffers of the system hold little of
/// an answer, as on a slow link.
class SlowReader
{
public:
    /// What has arrived of an answer.
    struct Answer
    {
        int status = 0; ///< 0: its head is incomplete.
        std::size_t bodyBytes = 0;
        std::size_t bodyLength = 0; ///< As its head says.

        bool isWhole() const { return status != 0 && bodyBytes == bodyLength; }
    };

    /// \param address `ip:port`.
    explicit SlowReader(const std::string &address);
    ~SlowReader();
    SlowReader(const SlowReader &) = delete;
    SlowReader &operator=(const SlowReader &) = delete;

    /// \returns whether all of \a text was sent.
    bool send(const std::string &text) const;

    /// \brief Reads until the head of an answer is complete, the connection ends or nothing arrives
    /// for \a timeout.
    /// \returns whether the head is complete.
    bool readHead(Duration timeout);

    /// \brief Reads the rest of the answer, \a bytesPerSecond at most.
    /// \returns what has arrived when the answer is whole or the connection has ended.
    Answer readBody(std::size_t bytesPerSecond);

private:
    /// \returns false if the connection has ended or nothing arrives for \a timeout.
    bool readSome(std::size_t bytes, Duration timeout);

    int m_fd;
    std::string m_received;
    Answer m_answer;
};

} // namespace catkinloft
