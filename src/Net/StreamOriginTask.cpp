#include "Net/StreamOriginTask.h"

#include "Base/Log.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

constexpr const char *Path = "/v1/stream-origin";
constexpr const char *SignatureHeader = "X-Catkinloft-Signature";
constexpr int Success = 200;
constexpr int Forbidden = 403;
constexpr int BadRequest = 400;

/// Routers that are asked. More than keep an origin, because the routers may disagree on which ones
/// do while the fleet changes, and because a router that was not told may have begun the stream.
constexpr std::size_t AskedRouters = 8;

/// Time in which a router answers. The caller of the stream is waiting.
constexpr Duration AnswerTimeout = 150ms;

/// \returns the age of the newest list of replicas in \a reports.
Duration newestListAge(std::span<const StreamOriginReport> reports)
{
    Duration out = Duration::max();
    for (const StreamOriginReport &it : reports)
        out = std::min(out, it.listAge);
    return out;
}

} // namespace

struct StreamOriginTask::Inquiry
{
    StreamOriginQuestion question;
    TimePoint startedAt;
    Found found; ///< Null after it was called.
    std::vector<StreamOriginReport> reports;
    std::size_t asked = 0;
    std::size_t pending = 0;
};

void StreamOriginTask::find(const StreamOriginQuestion &question, Found found)
{
    auto inquiry = std::make_shared<Inquiry>();
    inquiry->question = question;
    inquiry->startedAt = m_options.clock.now();
    inquiry->found = std::move(found);
    inquiry->reports = {m_options.ownReport(question)};
    if (const std::optional<std::string> known = inquiry->reports.front().software)
        return finish(*inquiry, known, "local");
    const std::vector<std::string> addresses = m_options.keepers(question.stream, AskedRouters);
    inquiry->asked = inquiry->pending = addresses.size();
    if (addresses.empty())
        return conclude(inquiry);
    const std::string text = StreamOriginCodec::encodeQuestion(question);
    for (const std::string &it : addresses)
        ask(it, text, inquiry);
}

void StreamOriginTask::ask(const std::string &address, const std::string &text,
                           const std::shared_ptr<Inquiry> &inquiry)
{
    m_options.fetch({.address = address,
                     .method = "POST",
                     .target = Path,
                     .headers = {{SignatureHeader, m_options.sign(text)}},
                     .body = text,
                     .timeout = AnswerTimeout},
                    [this, inquiry](const Result<HttpAnswer> &answer) {
                        --inquiry->pending;
                        const bool isKnown = answer && answer.value().head.status == Success;
                        if (const auto report = isKnown
                                    ? StreamOriginCodec::decodeReport(answer.value().body)
                                    : Result<StreamOriginReport>(Error{})) {
                            inquiry->reports.push_back(report.value());
                            if (report.value().software)
                                return finish(*inquiry, report.value().software, "router");
                        }
                        if (inquiry->pending == 0)
                            conclude(inquiry);
                    });
}

/// Ends an inquiry to which no router knows the answer.
void StreamOriginTask::conclude(const std::shared_ptr<Inquiry> &inquiry)
{
    const StreamOriginQuestion &question = inquiry->question;
    const auto proven = proveOrigin(inquiry->reports, question.window);
    if (proven || question.stream.empty() || !inquiry->found)
        return finish(*inquiry, proven, "list");
    m_options.readStored([this, inquiry] {
        finish(*inquiry, m_options.ownReport(inquiry->question).software, "store");
    });
}

void StreamOriginTask::finish(Inquiry &inquiry, std::optional<std::string> software,
                              const char *how)
{
    const Found found = std::exchange(inquiry.found, nullptr);
    if (!found)
        return;
    const char *origin = software ? how : "unknown";
    m_options.metrics.count("catkinloft_stream_resumptions_total",
                            Metrics::label("origin", origin));
    Log::info("stream_origin",
              {{"stream", inquiry.question.stream},
               {"origin", origin},
               {"software", software.value_or("")},
               {"asked_routers", inquiry.asked},
               {"answers", inquiry.reports.size() - 1},
               {"own_list_age_ms", inquiry.reports.front().listAge / 1ms},
               {"newest_list_age_ms", newestListAge(inquiry.reports) / 1ms},
               {"took_ms", (m_options.clock.now() - inquiry.startedAt) / 1ms}});
    found(std::move(software));
}

bool StreamOriginTask::accepts(const HttpExchange &exchange)
{
    return exchange.path() == Path;
}

void StreamOriginTask::handle(const HttpExchangePtr &exchange)
{
    if (!m_options.verify(exchange->header(SignatureHeader), exchange->body()))
        return exchange->respond(Forbidden, {}, {});
    const Result<StreamOriginQuestion> question =
            StreamOriginCodec::decodeQuestion(exchange->body());
    if (!question)
        return exchange->respond(BadRequest, {}, {});
    exchange->respond(Success, {{"Content-Type", "application/json"}},
                      StreamOriginCodec::encodeReport(m_options.ownReport(question.value())));
}

} // namespace catkinloft
