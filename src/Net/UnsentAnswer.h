#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief An answer of a listener that its caller has not received completely.
struct UnsentAnswer
{
    std::string requestId; ///< Empty if the request has none.
    std::size_t bytes = 0; ///< Written by the handler and not accepted by the network.
    bool isComplete = false; ///< The handler has written all of it.
    int error = 0; ///< The errno with which the connection ended, if it had one.
};

/// \brief Why a connection was closed before the answer to its request was sent.
enum class AnswerCut : std::uint8_t {
    Memory, ///< The connection had to give way. \sa RequestBuffers
    BrokenOff, ///< The handler gave the answer up.
    Timeout, ///< The caller didn't read it within the idle timeout.
    Caller, ///< The caller closed the connection, or its sending side.
    Reset, ///< The caller reset the connection, or the path to it broke.
    Stopped, ///< The process ended.
    Unknown, ///< evhttp closed the connection without an event of its stream.
};

/// \returns the name of \a cut in log lines and metrics.
std::string_view answerCutName(AnswerCut cut);

} // namespace catkinloft
