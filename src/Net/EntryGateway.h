#pragma once

#include "Net/EntryCall.h"
#include "Net/Timer.h"

#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace catkinloft {

/// \brief Receives requests from the listener and owns their calls until they are finished.
class EntryGateway
{
public:
    explicit EntryGateway(EntryContext context);
    ~EntryGateway();
    EntryGateway(const EntryGateway &) = delete;
    EntryGateway &operator=(const EntryGateway &) = delete;

    void handle(const HttpExchangePtr &exchange);

    /// \brief Closes connections after their answers from now on.
    void leave() { m_leaving = true; }

    /// \brief Answers all requests in progress because the process ends. \sa EntryCall::stop
    void stop();

    std::size_t inProgress() const { return m_calls.size(); }

    /// \returns the ids of the requests in progress.
    std::vector<std::string> unfinished() const;

private:
    void startSilenceTimer();
    void checkSilence();

    EntryContext m_context;
    Timer m_silenceTimer;
    TimePoint m_silenceCheckDue;
    bool m_skippedCheck = false; ///< The last check was skipped.
    std::unordered_set<std::shared_ptr<EntryCall>> m_calls;
    bool m_leaving = false;
};

} // namespace catkinloft
