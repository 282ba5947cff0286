#include "fleet/LoadDriver.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft::standin {

LoadDriver::LoadDriver(Options options)
    : m_options(std::move(options)),
      m_client(m_loop), m_context{.fleet = m_options.fleet,
                                  .loop = m_loop,
                                  .client = m_client,
                                  .random = seededRandom(m_options.seed),
                                  .report = m_report,
                                  .answerTimeout = m_options.answerTimeout,
                                  .requestTimeout = m_options.requestTimeout,
                                  .maxPause = m_options.maxPause,
                                  .maxTokens = m_options.maxTokens}
{ }

void LoadDriver::at(Duration delay, std::function<void()> event)
{
    ++m_pending;
    m_loop.after(delay, [this, event = std::move(event)] {
        event();
        finishOne();
    });
}

int LoadDriver::workspaceOf(int caller) const
{
    const Deployment &d = m_options.fleet.deployment();
    const double position = (caller % 10 + 0.5) / 10;
    if (position < m_options.largeShare)
        return caller % d.largeWorkspaces;
    return d.largeWorkspaces + caller % (d.workspaces - d.largeWorkspaces);
}

std::shared_ptr<Caller> LoadDriver::makeCaller(int workspace, RequestShape shape, int requests)
{
    ++m_pending;
    return std::make_shared<Caller>(
            m_context,
            Caller::Options{.name = fmt::format("s{}-c{}", m_options.seed, m_callers++),
                            .workspace = workspace,
                            .shape = shape,
                            .requests = requests,
                            .done = [this] { finishOne(); }});
}

void LoadDriver::surge(Duration delay, int n)
{
    for (int i = 0; i < n; ++i) {
        const auto caller = makeCaller(0, RequestShape::NonStreamedChat, 1);
        m_loop.after(delay, [caller] { caller->start(); });
    }
}

void LoadDriver::finishOne()
{
    if (--m_pending == 0)
        m_loop.stop();
}

LoadReport LoadDriver::run()
{
    for (int i = 0; i < m_options.callers; ++i) {
        const RequestShape shape =
                m_options.shapes[static_cast<std::size_t>(i) % m_options.shapes.size()];
        makeCaller(workspaceOf(i), shape, m_options.requestsEach)->start();
    }
    m_loop.run();
    evaluateExecutions();
    return m_report;
}

void LoadDriver::evaluateExecutions()
{
    const std::string prefix = fmt::format("s{}-", m_options.seed);
    std::map<std::string, int> byOperation;
    std::set<std::string> byRequest;
    for (const Json::Value &it : m_options.fleet.executions()) {
        const std::string operation = (it.isMember("echo") ? it["echo"] : it["body"]).asString();
        if (!operation.starts_with(prefix))
            continue;
        ++m_report.executions;
        m_report.promptTokens += it["prompt_tokens"].asDouble();
        m_report.cachedTokens += it["cached_tokens"].asDouble();
        if (it.isMember("echo"))
            m_report.workByEngine[it["by"].asString()] += it["work"].asDouble();
        ++byOperation[operation];
        // A router may append its own suffix after a dot.
        const std::string id = it["request_id"].asString();
        const std::size_t start = std::min(id.find(prefix), id.size());
        const std::string attempt = id.substr(start, id.find('.', start) - start);
        if (!m_context.sent.contains(attempt))
            ++m_report.unmatched;
        byRequest.insert(attempt);
    }
    for (const std::string &it : m_context.nonIdempotentOperations) {
        if (byOperation[it] > 1) {
            ++m_report.doubled;
            m_report.addNote(fmt::format("doubled {}: {} executions", it, byOperation[it]));
        }
    }
    for (const std::string &it : m_context.answeredOperations) {
        if (byOperation[it] == 0) {
            ++m_report.lost;
            m_report.addNote(fmt::format("lost {}: answered, never executed", it));
        }
    }
    for (const std::string &it : m_context.reportedNotRun) {
        if (byRequest.contains(it)) {
            ++m_report.untrueNotRun;
            m_report.addNote(fmt::format("untrue not_run {}", it));
        }
    }
}

} // namespace catkinloft::standin
