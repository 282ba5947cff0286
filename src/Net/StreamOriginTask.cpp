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

/// Time for a newer list of replicas if other routers answered. A router that reads through others
/// confirms its list within that time.
constexpr Duration ListTimeout = 1s;

/// The same if no other router answered: then only a call to the store, which usually takes a few
/// milliseconds, can help. The caller may find a router that is in touch with the others.
constexpr Duration IsolatedListTimeout = 300ms;

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
    std::size_t keepers = 0; ///< \sa StreamOriginEvidence
    std::size_t answeredKeepers = 0;
    bool isStoreRead = false; ///< Options::readStored has ended.
    TimePoint waitsUntil = TimePoint::max();

    StreamOriginEvidence evidence(bool isListRead) const
    {
        return {.reports = reports,
                .window = question.window,
                .isListRead = isListRead,
                .keepers = keepers,
                .answeredKeepers = answeredKeepers};
    }

    /// \returns whether a newer list of replicas can prove the origin.
    bool canBeProven() const
    {
        std::vector<StreamOriginReport> next = reports;
        next.front().listAge = Duration::zero();
        return proveOrigin({.reports = next, .window = question.window, .isListRead = true})
                .has_value();
    }
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
    // A caller that does not name the stream has no key by which it could have been told.
    if (!question.stream.empty())
        inquiry->keepers = std::min(Keepers, addresses.size());
    if (addresses.empty())
        return conclude(inquiry);
    const std::string text = StreamOriginCodec::encodeQuestion(question);
    for (std::size_t i = 0; i < addresses.size(); ++i)
        ask(addresses[i], text, i < inquiry->keepers, inquiry);
}

void StreamOriginTask::ask(const std::string &address, const std::string &text, bool isKeeper,
                           const std::shared_ptr<Inquiry> &inquiry)
{
    m_options.fetch({.address = address,
                     .method = "POST",
                     .target = Path,
                     .headers = {{SignatureHeader, m_options.sign(text)}},
                     .body = text,
                     .timeout = AnswerTimeout},
                    [this, inquiry, isKeeper](const Result<HttpAnswer> &answer) {
                        --inquiry->pending;
                        const bool isKnown = answer && answer.value().head.status == Success;
                        if (const auto report = isKnown
                                    ? StreamOriginCodec::decodeReport(answer.value().body)
                                    : Result<StreamOriginReport>(Error{})) {
                            inquiry->reports.push_back(report.value());
                            if (isKeeper
                                && wouldKnowOrigin(report.value(), inquiry->question.window))
                                ++inquiry->answeredKeepers;
                            if (report.value().software)
                                return finish(*inquiry, report.value().software, "router");
                        }
                        if (inquiry->pending == 0)
                            conclude(inquiry);
                    });
}

/// Called after all routers have answered or failed to, if none of them knows the origin.
void StreamOriginTask::conclude(const std::shared_ptr<Inquiry> &inquiry)
{
    if (!inquiry->found)
        return;
    if (const auto proven = proveOrigin(inquiry->evidence(false)))
        return finish(*inquiry, proven, "list");
    const Duration timeout = inquiry->reports.size() > 1 ? ListTimeout : IsolatedListTimeout;
    inquiry->waitsUntil = m_options.clock.now() + timeout;
    m_waiting.push_back(inquiry);
    schedulePoll();
    if (inquiry->question.stream.empty()) {
        inquiry->isStoreRead = true;
    } else {
        m_options.readStored([this, inquiry] {
            inquiry->isStoreRead = true;
            settle(*inquiry);
        });
    }
    if (inquiry->found && inquiry->canBeProven())
        m_options.refreshList();
    settle(*inquiry);
}

/// Ends \a inquiry unless a read in progress or a newer list may still prove the origin.
void StreamOriginTask::settle(Inquiry &inquiry)
{
    if (!inquiry.found)
        return;
    const TimePoint now = m_options.clock.now();
    inquiry.reports.front() = m_options.ownReport(inquiry.question);
    const StreamOriginReport &own = inquiry.reports.front();
    if (own.software)
        return finish(inquiry, own.software, "store");
    // The rows of the store may name a version that is no longer registered.
    if (inquiry.isStoreRead) {
        const bool isListRead = own.listAge < now - inquiry.startedAt;
        if (const auto proven = proveOrigin(inquiry.evidence(isListRead)))
            return finish(inquiry, proven, "list");
    }
    if (now >= inquiry.waitsUntil || (inquiry.isStoreRead && !inquiry.canBeProven()))
        finish(inquiry, std::nullopt, "");
}

void StreamOriginTask::settleAll()
{
    // A callback may resume another stream, which is then added to m_waiting.
    for (const auto &it : std::vector(m_waiting))
        settle(*it);
}

void StreamOriginTask::poll()
{
    m_nextPollAt = TimePoint::max();
    settleAll();
    schedulePoll(); // Timers use a coarse clock and may fire some milliseconds early.
}

void StreamOriginTask::schedulePoll()
{
    std::erase_if(m_waiting, [](const auto &it) { return !it->found; });
    TimePoint next = TimePoint::max();
    for (const auto &it : m_waiting)
        next = std::min(next, it->waitsUntil);
    if (next >= m_nextPollAt)
        return;
    m_nextPollAt = next;
    m_options.pollAfter(std::max<Duration>(1ms, next - m_options.clock.now()));
}

void StreamOriginTask::listRead()
{
    if (!m_waiting.empty())
        settleAll();
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
               {"answered_keepers", inquiry.answeredKeepers},
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
