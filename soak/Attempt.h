#pragma once

#include "Net/HttpClient.h"

#include <optional>
#include <string>

namespace catkinloft::soak {

/// \brief How a request ended of whose answer no byte arrived.
enum class Unanswered {
    No, ///< It has at least a part of an answer.
    Closed, ///< Its connection was closed or reset; HttpClient doesn't tell which.
    Eof,
    Reset,
    TimedOut, ///< Its caller gave it up.
};

/// \brief One attempt and its answer, as the caller received it.
struct Attempt
{
    std::string route = {};
    std::string key = {};
    std::size_t router = 0; ///< Index of the router that it was sent to.
    WallTime sentAt = {};
    int status = 0; ///< 0: no complete answer.
    std::string body = {};
    std::string signature = {};
    bool saysLeaving = false; ///< The answer reports that its replica leaves.
    WallTime answeredAt = {};
    std::string resumes = {}; ///< Attempt that began the stream, if the caller resumes it.
    int afterEvent = 0; ///< Last event of the stream that the caller had before.
    bool hasLeft = false; ///< The caller left the stream after some events.
    int lastEvent = 6; ///< Of the whole stream.
    WallTime cutOffAt = {}; ///< When the connection closed before the answer was complete.
    std::string retryAfter = {}; ///< As stated by the answer.
    std::string workspace = "archive";
    std::optional<int> priority = {}; ///< Of the route; none: a route of the only priority.
    std::string firstTry = {}; ///< First attempt of the request, if this one repeats it.
    static constexpr std::chrono::milliseconds DefaultTimeout{3000};
    std::chrono::milliseconds timeout = DefaultTimeout; ///< That the caller gives it.
    double bytesPerSecond = 0; ///< At which a slow caller reads the answer; 0: as fast as it can.
    std::size_t bytes = 0; ///< Of the answer's body that a slow caller has.
    std::size_t length = 0; ///< Of the answer's body that a slow caller expects.
    bool isOnKeptConnection = false; ///< On which an earlier request was answered.
    Unanswered unanswered = Unanswered::No;
    WallTime unansweredAt = {}; ///< When the connection closed or the caller gave up.

    /// \brief Records whether \a call, which ended with \a result, got an answer.
    void noteEnd(const HttpCallHandle &call, const Result<void> &result, WallTime now);
};

} // namespace catkinloft::soak
