#pragma once

#include "EngineRequest.h"
#include "Standin.h"

#include <memory>

namespace catkinloft::standin {

/// \brief One answer that an engine generates. Generation continues when the caller disconnects,
/// and a later connection may resume the answer from any token.
class Generation
{
public:
    Generation(EngineRequest request, HttpExchangePtr exchange);

    const EngineRequest &request() const { return m_request; }
    double cachedTokens = 0;

    /// \brief Sends the tokens that follow number \a after to \a exchange, and closes the previous
    /// connection.
    void resume(HttpExchangePtr exchange, int after);

    /// \brief Generates one token.
    /// \returns false if all tokens were generated or the generation was cancelled.
    bool produce();

    /// \brief Sends the remaining tokens and the end marker of a stream, or the complete answer of
    /// a request that is not streamed. Closes the connection of a cancelled generation.
    void complete();

    void cancel() { m_cancelled = true; }
    bool isComplete() const { return m_complete; }

private:
    void sendPending();
    std::string answerBody() const;

    EngineRequest m_request;
    HttpExchangePtr m_exchange;
    int m_produced = 0;
    int m_sent = 0; ///< Number of the next token to send on the current connection.
    bool m_cancelled = false;
    bool m_complete = false;
};

using GenerationPtr = std::shared_ptr<Generation>;

} // namespace catkinloft::standin
