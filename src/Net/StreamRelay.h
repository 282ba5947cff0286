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

/// \brief Brings one stream to its caller, over as many connections to its engine as that takes.
///
/// A silent or broken connection says nothing about the engine: the stream is taken up on a new
/// one, behind the last token delivered, and only failures of new connections end it.
class StreamRelay
{
public:
    /// \brief Where the stream is generated.
    struct Source
    {
        std::string address;
        std::string upstreamId;
        bool cancellable = true; ///< false: another router answers for it and cancels.
    };

    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        Metrics &metrics;
        const Settings &settings;
        std::size_t &buffered; ///< Bytes held for all callers of the process.
        HttpExchangePtr exchange;
        HttpHeaders head; ///< Of the caller's answer.
        std::optional<Source> source; ///< Nothing: it can't be resumed.
        Duration progressTimeout;
        TimePoint deadline;
        std::int64_t lastEventId = -1;
        /// Called once: success after the end marker was delivered, else why it ended.
        std::function<void(Result<void>)> done;
    };

    explicit StreamRelay(Options options);
    ~StreamRelay();
    StreamRelay(const StreamRelay &) = delete;
    StreamRelay &operator=(const StreamRelay &) = delete;

    /// \brief Goes on with a call that has begun to answer; its events come to data() and ended().
    void adopt(HttpCallPtr call) { m_call = std::move(call); }
    void data(std::string_view data);
    void ended(const Result<void> &result);

    /// \brief Takes the stream up on a new connection.
    void resume();

    /// \brief The caller has gone. It may come back on any router for a while; then the engine is
    /// told to stop.
    void callerLeft();

    /// \returns whether the caller has been sent anything.
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
    std::size_t m_countedBacklog = 0; ///< Of `buffered`, for this caller.
    std::size_t m_lastBacklog = 0;
    int m_failures = 0; ///< New connections in a row that did not answer.
    int m_idleResumes = 0; ///< Resumes since the last token.
    bool m_resuming = false; ///< The connection at hand has not answered yet.
    bool m_delivered = false;
    bool m_complete = false;
    bool m_hasGap = false;
    bool m_callerLeft = false;
    bool m_finished = false;
};

} // namespace catkinloft
