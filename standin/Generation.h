#pragma once

#include "EngineRequest.h"
#include "Standin.h"

#include <memory>

namespace catkinloft::standin {

/// \brief One answer that an engine generates. It goes on without its caller, and a later
/// connection may take it over from any token.
class Generation
{
public:
    Generation(EngineRequest request, HttpExchangePtr exchange);

    const EngineRequest &request() const { return m_request; }
    double cachedTokens = 0;

    /// \brief Sends what follows token number \a after to \a exchange from now on.
    void resume(HttpExchangePtr exchange, int after);

    /// \brief Adds one token.
    /// \returns false where there are no more.
    bool produce();

    /// \brief Sends the rest and the end marker, or the whole answer.
    void complete();

    void cancel() { m_cancelled = true; }
    bool isComplete() const { return m_complete; }

private:
    void sendPending();
    std::string answerBody() const;

    EngineRequest m_request;
    HttpExchangePtr m_exchange;
    int m_produced = 0;
    int m_sent = 0; ///< Tokens sent on the connection at hand.
    bool m_cancelled = false;
    bool m_complete = false;
};

using GenerationPtr = std::shared_ptr<Generation>;

} // namespace catkinloft::standin
