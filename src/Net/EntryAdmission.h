#pragma once

#include "Base/Error.h"
#include "Base/Metrics.h"
#include "Net/ServiceAdmission.h"
#include "Net/WireCodec.h"

#include <optional>
#include <string>

namespace catkinloft {

/// \brief Admission of one request: asks the decisions of its service whether it may be sent, and
/// tells them what became of it.
class EntryAdmission
{
public:
    explicit EntryAdmission(Metrics &metrics) : m_metrics(metrics) { }
    ~EntryAdmission() { end(); }
    EntryAdmission(const EntryAdmission &) = delete;
    EntryAdmission &operator=(const EntryAdmission &) = delete;

    /// \param remaining time until the deadline of the request.
    /// \returns why \a request is refused, or std::nullopt if it may be sent.
    std::optional<Error> admit(ServiceAdmission &service, const EntryRequest &request,
                               Duration remaining);

    /// \brief Ends the request for its service. Must be called before the service is destroyed,
    /// which a finished call may outlive.
    void end();

    /// \brief Records that the first event of a stream arrived.
    void firstEvent();

    /// \brief Records what the head of an answer from \a replica states about its load.
    void headReceived(const std::string &replica, const AnswerFacts &answer, int status);

    /// \brief Result of one attempt of a plain call.
    struct CallAnswer
    {
        const std::string &replica; ///< Incarnation.
        const AnswerFacts &facts;
        int status = 0;
        Duration latency; ///< From sending the call to the end of the answer.
        Duration target; ///< Latency up to which the answer is on time.
        std::size_t usableReplicas = 0;
    };

    /// \brief Records the load in the answer to a plain call.
    void callAnswered(const CallAnswer &answer);

    /// \brief Decides whether the load of the service allows another attempt.
    ///
    /// An overloaded service has no capacity to process a request twice. Exempt are the most urgent
    /// prompts and streams whose events the caller already has, since all of their work would be
    /// lost.
    ///
    /// \param verdict of the attempt that failed.
    /// \param hasForwardedEvent whether this request has delivered a part of the stream.
    bool mayRetry(Verdict verdict, bool hasForwardedEvent);

    /// \returns the priority that is stated to an engine; std::nullopt if none is.
    std::optional<int> statedPriority() const;

private:
    bool isAdmitted();
    Error refusal(Duration remaining) const;

    Metrics &m_metrics;
    ServiceAdmission *m_service = nullptr; ///< Null: not admitted yet.
    const EntryRequest *m_request = nullptr;
    RequestRank m_rank;
    bool m_isPrompt = false;
    bool m_isResumed = false; ///< The caller has a part of the stream from before.
    std::optional<PromptAdmission::Id> m_prompt; ///< Set while a prompt is in progress.
};

} // namespace catkinloft
