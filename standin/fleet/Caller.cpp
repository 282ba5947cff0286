#include "fleet/Caller.h"

#include <charconv>
#include <sstream>

#include <fmt/format.h>
#include <json/json.h>

namespace catkinloft::standin {

namespace {

constexpr Duration FirstBackoff = std::chrono::milliseconds(100);
/// The caller waits longer than the deadline it sends, so that it receives the reason when the
/// router's deadline expires.
constexpr Duration ClientTimeoutMargin = std::chrono::milliseconds(500);

constexpr Duration MaxBackoff = std::chrono::seconds(1);

bool isChat(RequestShape shape)
{
    return shape == RequestShape::StreamedChat || shape == RequestShape::NonStreamedChat;
}

Json::Value parseBody(const HttpAnswer &answer)
{
    Json::Value out;
    std::istringstream in(answer.body);
    if (!Json::parseFromStream(Json::CharReaderBuilder(), in, &out, nullptr) || !out.isObject())
        return Json::Value(Json::objectValue);
    return out;
}

} // namespace

Caller::Caller(CallerContext &context, Options options)
    : m_context(context), m_options(std::move(options))
{ }

void Caller::start()
{
    const double share = uniform(m_context.random);
    m_context.loop.after(scaled(m_context.maxPause, share),
                         [self = shared_from_this()] { self->next(); });
}

void Caller::next()
{
    if (m_request == m_options.requests) {
        m_options.done();
        return;
    }
    m_attempt = 0;
    m_lastAttemptExplained = false;
    m_operation = fmt::format("{}-{}", m_options.name, m_request++);
    m_started = m_context.loop.now();
    m_expected = {
            .operation = m_operation,
            .chat = isChat(m_options.shape),
            .streamed = m_options.shape == RequestShape::StreamedChat,
            .tokens = 1
                    + static_cast<int>(below(m_context.random,
                                             static_cast<std::uint64_t>(m_context.maxTokens)))};
    ++m_context.report.requests;
    if (m_options.shape == RequestShape::NonIdempotentCall)
        m_context.nonIdempotentOperations.insert(m_operation);
    attempt();
}

void Caller::attempt()
{
    if (m_context.loop.now() < m_addressUntil)
        send();
    else
        resolveAddress();
}

void Caller::resolveAddress()
{
    const std::size_t i = below(m_context.random, m_context.fleet.deployment().routers);
    m_context.client.fetch(
            {.address = m_context.fleet.routerAddress(i),
             .target = fmt::format("/v1/where?workspace={}&chat={}",
                                   Fleet::workspaceName(m_options.workspace), m_options.name),
             .timeout = std::chrono::seconds(1)},
            [self = shared_from_this()](const Result<HttpAnswer> &answer) {
                const Json::Value root = answer ? parseBody(answer.value()) : Json::Value();
                if (!root["address"].isString()) {
                    self->retry(FirstBackoff, true);
                    return;
                }
                self->m_address = root["address"].asString();
                self->m_addressUntil = self->m_context.loop.now()
                        + std::chrono::milliseconds(root["lifetime_ms"].asInt64());
                self->send();
            });
}

std::string Caller::chatBody() const
{
    // All requests of a chat start with the same message, so that they share a cached prefix.
    return fmt::format(R"({{"model":"{}","stream":{},"max_tokens":{},"messages":[)"
                       R"({{"role":"user","content":"start of {}"}},)"
                       R"({{"role":"user","content":"{}"}}]}})",
                       m_context.fleet.deployment().model, m_expected.streamed, m_expected.tokens,
                       m_options.name, m_operation);
}

HttpCall Caller::makeCall()
{
    m_requestId = fmt::format("{}-try-{}", m_operation, m_attempt++);
    m_context.sent.insert(m_requestId);
    const auto deadline =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_context.answerTimeout).count();
    HttpCall call{
            .address = m_address,
            .method = "POST",
            .target = "/v1/chat/completions",
            .headers = {{"Authorization", "Bearer " + Fleet::workspaceKey(m_options.workspace)},
                        {"X-Request-Id", m_requestId},
                        {"X-Request-Timeout-Ms", fmt::format("{}", deadline)}},
            .timeout = m_context.answerTimeout + ClientTimeoutMargin};
    if (m_expected.chat) {
        call.headers.emplace_back("X-Chat-Id", m_options.name);
        call.body = chatBody();
        return call;
    }
    call.target = fmt::format("/services/{}/orders", m_context.fleet.deployment().service);
    call.body = m_operation;
    if (m_options.shape == RequestShape::IdempotentCall)
        call.method = "PUT";
    else
        call.headers.emplace_back("Idempotency-Key", m_operation);
    return call;
}

void Caller::send()
{
    ++m_context.report.attempts;
    m_context.client.fetch(makeCall(), [self = shared_from_this()](Result<HttpAnswer> answer) {
        self->answered(answer);
    });
}

void Caller::answered(const Result<HttpAnswer> &answer)
{
    if (!answer) {
        // The router is unreachable or the connection broke: retry the operation at another
        // address.
        m_addressUntil = {};
        m_lastAttemptExplained = false;
        retry(FirstBackoff, true);
    } else if (answer.value().head.status == 200) {
        succeeded(answer.value());
    } else {
        refused(answer.value());
    }
}

void Caller::succeeded(const HttpAnswer &answer)
{
    const AnswerFault fault = checkAnswer(answer, m_expected);
    LoadReport &report = m_context.report;
    if (fault == AnswerFault::None) {
        ++report.answered;
        report.latencies.push_back(m_context.loop.now() - m_started);
        m_context.answeredOperations.insert(m_operation);
    } else {
        ++(fault == AnswerFault::Crossed ? report.crossed : report.truncated);
        report.addNote(fmt::format("{} {} got: {}",
                                   fault == AnswerFault::Crossed ? "crossed" : "truncated",
                                   m_requestId, answer.body.substr(0, 300)));
    }
    finishRequest();
}

void Caller::refused(const HttpAnswer &answer)
{
    const Json::Value problem = parseBody(answer);
    const std::string reason = problem["reason"].isString() ? problem["reason"].asString() : "";
    const std::string verdict = problem["verdict"].isString() ? problem["verdict"].asString() : "";
    ++m_context.report.reasons[reason];
    m_lastAttemptExplained = !reason.empty() && !verdict.empty();
    if (!m_lastAttemptExplained) {
        ++m_context.report.unexplained;
        m_context.report.addNote(fmt::format("unexplained {} {}: {}", m_requestId,
                                             answer.head.status, answer.body.substr(0, 200)));
    }
    if (verdict == "not_run")
        m_context.reportedNotRun.insert(m_requestId);
    if (reason == "draining" || reason == "not_ready")
        m_addressUntil = {};
    // An operation is retried under its idempotency key, except after an unknown outcome, which is
    // final.
    retry(MaxBackoff, reason != "outcome_unknown");
}

void Caller::retry(Duration delay, bool retryable)
{
    if (retryable && m_context.loop.now() - m_started < m_context.requestTimeout) {
        const Duration wait = std::min(delay, FirstBackoff * (1 << std::min(m_attempt, 3)));
        m_context.loop.after(wait, [self = shared_from_this()] { self->attempt(); });
        return;
    }
    if (m_lastAttemptExplained) {
        ++m_context.report.refused;
    } else {
        ++m_context.report.lost;
        m_context.report.addNote(fmt::format("lost {}: no answer", m_requestId));
    }
    finishRequest();
}

void Caller::finishRequest()
{
    const double share = uniform(m_context.random);
    m_context.loop.after(scaled(m_context.maxPause, share),
                         [self = shared_from_this()] { self->next(); });
}

} // namespace catkinloft::standin
