#pragma once

#include "Base/Metrics.h"
#include "Base/Settings.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "Request/SseReader.h"
#include "Request/StreamCursor.h"

#include <functional>
#include <optional>
#include <string>

namespace catkinloft {

/// \brief Forwards one stream to its caller and resumes it on new connections to its engine.
///
/// A connection that broke or timed out does not show that the engine failed. The stream is resumed
/// on a new connection after the last token delivered; only failures of new connections end it.
class StreamRelay
{
public:
    /// \brief Where the stream is generated.
    struct Source
    {
        std::string address;
        std::string upstreamId;
        bool cancellable = true; ///< false: another router forwards the stream and cancels it.
    };

    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        Metrics &metrics;
        const Settings &settings;
        std::size_t &buffered; ///< Bytes buffered for all callers of the process.
        HttpExchangePtr exchange;
        HttpHeaders head; ///< Headers of the answer to the caller.
        std::optional<Source> source; ///< Empty if the stream cannot be resumed.
        Duration progressTimeout;
        TimePoint deadline;
        std::int64_t lastEventId = -1;
        /// Called once: with success after the end marker was delivered, else with the error.
        std::function<void(Result<void>)> done;
    };

    explicit StreamRelay(Options options);
    ~StreamRelay();
    StreamRelay(const StreamRelay &) = delete;
    StreamRelay &operator=(const StreamRelay &) = delete;

    /// \brief Takes over a call whose answer has begun; its events are passed to data() and
    /// ended().
    void adopt(HttpCallPtr call) { m_call = std::move(call); }
    void data(std::string_view data);
    void ended(const Result<void> &result);

    /// \brief Resumes the stream on a new connection.
    void resume();

    /// \brief Handles that the caller has left. It may resume the stream on any router during the
    /// progress timeout; after that the stream is cancelled at the engine.
    void callerLeft();

    /// \returns whether any data was sent to the caller.
    bool delivered() const { return m_delivered; }

private:
    void gotHead(const HttpHead &head);
    void resumeFailed(Error error);
    void deliver(std::string_view text);
    void limitBacklog();
    void drained();
    void checkSlowCaller();
    void countBacklog();
    void cancelUpstream();
    void finish(Result<void> result);

    Options m_options;
    HttpCallPtr m_call;
    SseReader m_reader;
    StreamCursor m_cursor;
    Timer m_retryTimer;
    Timer m_slowCallerTimer;
    Timer m_graceTimer;
    std::size_t m_countedBacklog = 0; ///< Share of `buffered` of this caller.
    std::size_t m_lastBacklog = 0;
    int m_failures = 0; ///< Consecutive new connections that failed.
    int m_idleResumes = 0; ///< Resume attempts since the last token.
    bool m_resuming = false; ///< The current connection has not answered yet.
    bool m_delivered = false;
    bool m_complete = false;
    bool m_hasGap = false;
    bool m_callerLeft = false;
    bool m_finished = false;
};

} // namespace catkinloft
