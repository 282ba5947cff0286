#pragma once

#include "Base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace catkinloft {

/// \brief Limits the memory that the requests and unread answers of all connections take together.
///
/// Handles crowds of callers that send many requests at a time, don't end them, or don't read their
/// answers. Each of them may be within the limits of a request. Prevents that the process exceeds
/// its memory and is killed with all requests that it has in progress.
///
/// When a share doesn't fit, the connection gives way that has taken the most memory for the
/// longest time: size times the time since the share reached its size class (powers of two). A
/// request that arrives without pause is young whatever its size, so that it is not refused in
/// favour of requests that have stalled. Shares that are small compared to the limit give way last:
/// they free little memory, and callers with a slow connection and a short request have them.
/// Addresses don't matter: callers behind one gateway share theirs, and a crowd may have many.
///
/// A request that is being handled never gives way, because it may have run. It is refused before
/// instead, if it doesn't fit beside the others that are being handled, the answers, and a reserve
/// for further answers.
///
/// An answer that its caller is reading gives way last, because its request has run, while an
/// incomplete request can be sent again. That holds for half of the limit, so that callers who read
/// slowly don't keep others from sending.
///
/// Updates take constant time.
class RequestBuffers
{
public:
    /// Leaves most of an entry VM of 260 MB to answers, connections and freed memory that the
    /// allocator keeps.
    static constexpr std::size_t DefaultLimit = std::size_t(96) * 1024 * 1024;

    explicit RequestBuffers(const Clock &clock, std::size_t limit = DefaultLimit)
        : m_clock(clock), m_limit(limit)
    { }
    RequestBuffers(const RequestBuffers &) = delete;
    RequestBuffers &operator=(const RequestBuffers &) = delete;

    /// What a connection holds that is not being handled.
    enum class Content : std::uint8_t {
        Request, ///< That is being received.
        Answer, ///< That is not read yet.
    };

    /// \brief The memory of one connection; empty again when it is destroyed.
    class Share
    {
    public:
        /// \param giveUp is called once if the connection has to be closed. It must free the memory
        /// soon, and may not destroy the share. The share stays empty afterwards.
        Share(RequestBuffers &buffers, std::function<void()> giveUp);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// \brief Sets the bytes of a request that is being received, or of an answer that is not
        /// read. Shares that don't fit any more give way, which may include this one.
        void hold(std::size_t size, Content content = Content::Request);

        /// \brief Sets the bytes of the request that is being handled, 0 at its end.
        /// \returns false if it doesn't fit; it must be refused then.
        bool run(std::size_t size);

        std::size_t held() const { return m_held; }
        std::size_t running() const { return m_running; }
        bool isGivenUp() const { return m_isGivenUp; }

    private:
        friend class RequestBuffers;
        using Node = std::list<Share *>;

        void classify(std::size_t sizeClass);
        void resize(std::size_t size);
        void noteSent(std::size_t bytes);
        void clear();

        RequestBuffers &m_buffers;
        std::function<void()> m_giveUp;
        std::size_t m_held = 0;
        std::size_t m_running = 0;
        Content m_content = Content::Request; ///< Of m_held.
        std::size_t m_class = 0; ///< Of m_held; 0: nothing to give up.
        /// Begin of the time in this size class, or of the time without progress of an answer.
        TimePoint m_since;
        std::size_t m_sent = 0; ///< Bytes of the answer since then.
        bool m_isGivenUp = false;
        Node m_node; ///< The only element, while the share is in no class.
        Node::iterator m_position;
    };

    std::size_t used() const { return m_held + m_running; }
    std::size_t running() const { return m_running; } ///< The part that may not give way.
    std::size_t limit() const { return m_limit; }

private:
    static constexpr std::size_t Classes = 8 * sizeof(std::size_t) + 1;

    /// Shares by size class, oldest first.
    using ShareLists = std::array<Share::Node, Classes>;

    /// A share that could give way.
    struct Candidate
    {
        Share *share = nullptr;
        double cost = 0;
    };

    std::size_t firstLarge() const; ///< Size class of the smallest shares that are not small.
    ShareLists &lists(Content content)
    {
        return content == Content::Answer ? m_answers : m_requests;
    }
    Candidate mostExpensive(const ShareLists &lists, std::size_t firstClass, std::size_t lastClass,
                            Duration minAge) const;
    Candidate unprotectedAnswer() const;
    Share *nextToGiveWay() const;
    static void giveWay(Share &it);
    void makeRoom();
    bool makeRoomToRun(std::size_t size);
    std::size_t reserve() const; ///< For answers.

    const Clock &m_clock;
    std::size_t m_limit;
    std::size_t m_held = 0;
    std::size_t m_answerBytes = 0; ///< The part of m_held that is answers.
    std::size_t m_running = 0;
    ShareLists m_requests = {};
    ShareLists m_answers = {};
};

} // namespace catkinloft
