#include "Net/RelayServer.h"

#include "Base/Log.h"
#include "Net/EventLoop.h"
#include "Net/RelayClient.h"
#include "Net/internal/ConnectProbe.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;
using internal::ConnectProbe;

/// Relayed requests in progress. Each occupies two connections and some kilobytes.
constexpr std::size_t MaxRelayed = 400;

/// Age at which a ticket expires. Clocks of VMs may differ by seconds.
constexpr std::int64_t TicketLifetimeMs = 10'000;

/// Expired tickets are forgotten at this interval.
constexpr Duration ForgetInterval = 1s;

/// Time until the first byte can be sent to the replica.
constexpr Duration ConnectTimeout = 150ms;

/// The sender closes its connection at the deadline of the request.
constexpr Duration CallTimeout = 10min;

constexpr int BadGateway = 502;

} // namespace

struct RelayServer::Private
{
    /// A request on its way to a replica.
    struct Relay
    {
        HttpExchangePtr exchange;
        RelayTicket ticket;
        ReplicaRecord replica;
        TimePoint sentAt;
        HttpCallPtr call;
        HttpHead head;
        std::string body;
        bool isStream = false;
    };
    using RelayPtr = std::shared_ptr<Relay>;

    /// A question whether this router reaches a replica.
    struct Check
    {
        HttpExchangePtr exchange; ///< Null after it was answered.
        std::string replica; ///< Incarnation of the replica.
        std::shared_ptr<ConnectProbe> probe; ///< Null after it ended.
        std::optional<ConnectProbe::Outcome> outcome;
        std::optional<bool> arePathsWorking;
        bool hasCrashedBefore = false;
    };

    explicit Private(Options o) : options(std::move(o)) { }

    void relay(const HttpExchangePtr &exchange);
    Result<void> admit(const RelayTicket &ticket, const HttpExchange &exchange,
                       const HttpHeaders &headers);
    void send(const RelayPtr &it, HttpHeaders headers);
    void onHead(Relay &it, const HttpHead &head) const;
    void onData(Relay &it, std::string_view data) const;
    void onEnd(const RelayPtr &it, const Result<void> &result);
    void checkForCrash(const RelayPtr &it, CrashWatch::AliveCriterion criterion,
                       std::function<void(const RelayPtr &, CrashWatch::State)> checked);
    void complete(const RelayPtr &it);
    void fail(const RelayPtr &it, const Error &error, bool hasReplicaCrashed);
    static void refuse(HttpExchange &exchange, const Error &error);
    void remove(const RelayPtr &it);
    void checkPath(const HttpExchangePtr &exchange);
    void answerWhenKnown(Check &check) const;
    static void answerCheck(const HttpExchangePtr &exchange, std::string_view text,
                            std::optional<Duration> brokenFor = std::nullopt);
    void forgetOld();

    Options options;
    std::set<RelayPtr> relays;
    std::set<std::shared_ptr<ConnectProbe>> probes;
    std::map<std::string, std::int64_t> seen; ///< Time of each recent ticket, by its signature.
    TimePoint forgotAt;
};

RelayServer::RelayServer(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

RelayServer::~RelayServer() = default;

std::size_t RelayServer::inProgress() const
{
    return m_d->relays.size();
}

bool RelayServer::accepts(const HttpExchange &exchange)
{
    return exchange.path() == RelayClient::CheckPath
            || !exchange.header(RelayCodec::TicketHeader).empty();
}

void RelayServer::handle(const HttpExchangePtr &exchange)
{
    if (exchange->header(RelayCodec::TicketHeader).empty())
        m_d->checkPath(exchange);
    else
        m_d->relay(exchange);
}

void RelayServer::Private::relay(const HttpExchangePtr &exchange)
{
    forgetOld();
    const HttpHeaders received = exchange->headers();
    HttpHeaders headers = RelayCodec::endToEnd(received);
    const Result<RelayTicket> ticket =
            RelayCodec::decode(exchange->header(RelayCodec::TicketHeader));
    if (!ticket)
        return refuse(*exchange, ticket.error());
    if (const Result<void> admitted = admit(ticket.value(), *exchange, headers); !admitted) {
        options.metrics.count("catkinloft_relays_refused_total");
        return refuse(*exchange, admitted.error());
    }
    auto it = std::make_shared<Relay>();
    it->exchange = exchange;
    it->ticket = ticket.value();
    it->replica = *options.findReplica(it->ticket.replica);
    it->sentAt = options.loop.now();
    relays.insert(it);
    options.metrics.count("catkinloft_relays_total");
    send(it, std::move(headers));
}

Result<void> RelayServer::Private::admit(const RelayTicket &ticket, const HttpExchange &exchange,
                                         const HttpHeaders &headers)
{
    const auto refusal = [](Reason reason, std::string detail) {
        return Error{.reason = reason, .verdict = Verdict::NotRun, .detail = std::move(detail)};
    };
    if (!options.verify(ticket.signature,
                        RelayCodec::signedText(ticket, exchange.method(), exchange.target(),
                                               headers, exchange.body())))
        return refusal(Reason::MalformedRequest, "the ticket is not signed by a router");
    const std::int64_t now = options.loop.wallNow().time_since_epoch() / 1ms;
    if (std::abs(now - ticket.sentAtMs) > TicketLifetimeMs
        || !seen.emplace(ticket.signature, ticket.sentAtMs).second)
        return refusal(Reason::MalformedRequest, "the ticket has expired or was used before");
    if (options.isLeaving())
        return refusal(Reason::Draining, "this router is shutting down");
    if (!options.isProofFresh())
        return refusal(Reason::NotReady, "the configuration is not known to be the newest");
    if (relays.size() >= MaxRelayed)
        return refusal(Reason::QueueFull, "too many relayed requests are in progress");
    const ReplicaRecord *replica = options.findReplica(ticket.replica);
    if (!replica)
        return refusal(Reason::NoLiveEngine, "the replica is not registered here or is leaving");
    if (options.isPathLost(*replica))
        return refusal(Reason::UpstreamUnreachable, "this router doesn't reach the replica either");
    return outcome::success();
}

void RelayServer::Private::send(const RelayPtr &it, HttpHeaders headers)
{
    HttpExchange &exchange = *it->exchange;
    const std::weak_ptr<Relay> weak = it;
    const std::string &idHeader = options.requestIdHeader;
    HttpHeader answerId{idHeader, std::string(exchange.header(idHeader.c_str()))};
    exchange.onClosed([this, weak] {
        if (const RelayPtr held = weak.lock())
            remove(held);
    });
    it->call = options.client.send({.address = it->replica.address,
                                    .method = exchange.method(),
                                    .target = exchange.target(),
                                    .headers = std::move(headers),
                                    .body = std::string(exchange.body()),
                                    .timeout = CallTimeout,
                                    .connectTimeout = ConnectTimeout,
                                    .maxIdleAge = 1s,
                                    .acceptsUnframed = true,
                                    .forwardsStream = true,
                                    .answerId = std::move(answerId)},
                                   {.onHead =
                                            [this, weak](const HttpHead &head) {
                                                if (const RelayPtr held = weak.lock())
                                                    onHead(*held, head);
                                            },
                                    .onData =
                                            [this, weak](std::string_view data) {
                                                if (const RelayPtr held = weak.lock())
                                                    onData(*held, data);
                                            },
                                    .onEnd =
                                            [this, weak](const Result<void> &result) {
                                                if (const RelayPtr held = weak.lock())
                                                    onEnd(held, result);
                                            }});
}

/// Answers without a length are streams, whose events are forwarded as they arrive.
void RelayServer::Private::onHead(Relay &it, const HttpHead &head) const
{
    it.head = head;
    it.isStream = head.header("Content-Length").empty();
    if (!it.isStream)
        return;
    it.exchange->onDrained([weak = std::weak_ptr<HttpExchange>(it.exchange), call = it.call.get()] {
        if (weak.lock())
            call->resume();
    });
    it.exchange->beginStream(head.status, RelayCodec::endToEnd(head.headers));
}

void RelayServer::Private::onData(Relay &it, std::string_view data) const
{
    if (!it.isStream) {
        it.body += data;
        return;
    }
    it.exchange->write(data);
    if (it.exchange->backlog() > options.maxBacklog)
        it.call->pause();
}

void RelayServer::Private::onEnd(const RelayPtr &it, const Result<void> &result)
{
    // The sender gets the answer in chunks, so the end of one without framing is verified here.
    if (result && it->head.isUnframed && it->head.status / 100 == 2)
        return checkForCrash(it, CrashWatch::AliveCriterion::Proven,
                             [this](const RelayPtr &held, CrashWatch::State state) {
                                 if (state == CrashWatch::State::Alive)
                                     return complete(held);
                                 fail(held,
                                      {.reason = Reason::UpstreamBroken,
                                       .verdict = Verdict::MayHaveRun,
                                       .detail = "an answer without a length ended, and its "
                                                 "replica is not known to run"},
                                      state == CrashWatch::State::Crashed);
                             });
    if (result)
        return complete(it);
    const Error &error = result.error();
    if (error.reason == Reason::UpstreamUnreachable && error.verdict == Verdict::NotRun)
        options.pathFailed(it->replica);
    if (error.reason != Reason::UpstreamBroken || error.verdict == Verdict::NotRun
        || it->ticket.suspects.empty())
        return fail(it, error, false);
    checkForCrash(it, CrashWatch::AliveCriterion::Accepts,
                  [this, error](const RelayPtr &held, CrashWatch::State state) {
                      fail(held, error, state == CrashWatch::State::Crashed);
                  });
}

void RelayServer::Private::checkForCrash(
        const RelayPtr &it, CrashWatch::AliveCriterion criterion,
        std::function<void(const RelayPtr &, CrashWatch::State)> checked)
{
    options.crashes.checkReplica({.requestId = {},
                                  .suspects = it->ticket.suspects,
                                  .replica = it->ticket.replica,
                                  .replicaId = it->replica.id,
                                  .service = it->replica.service,
                                  .software = it->replica.software(),
                                  .address = it->replica.address,
                                  .sentAt = it->sentAt},
                                 criterion,
                                 [weak = std::weak_ptr<Relay>(it),
                                  checked = std::move(checked)](CrashWatch::State state) {
                                     if (const RelayPtr held = weak.lock())
                                         checked(held, state);
                                 });
}

void RelayServer::Private::complete(const RelayPtr &it)
{
    if (it->isStream)
        it->exchange->end();
    else
        it->exchange->respond(it->head.status, RelayCodec::endToEnd(it->head.headers), it->body);
    remove(it);
}

void RelayServer::Private::fail(const RelayPtr &it, const Error &error, bool hasReplicaCrashed)
{
    Log::info("relay_failed",
              {{"replica", it->replica.id},
               {"reason", reasonInfo(error.reason).code},
               {"detail", error.detail}});
    if (it->exchange->isStreaming())
        it->exchange->abort();
    else
        it->exchange->respond(BadGateway,
                              {RelayCodec::encodeFailure({.error = error,
                                                          .isReplicaAtFault = true,
                                                          .hasReplicaCrashed = hasReplicaCrashed})},
                              {});
    remove(it);
}

void RelayServer::Private::refuse(HttpExchange &exchange, const Error &error)
{
    exchange.respond(BadGateway,
                     {RelayCodec::encodeFailure(
                             {.error = error,
                              .isReplicaAtFault = error.reason == Reason::UpstreamUnreachable})},
                     {});
}

void RelayServer::Private::remove(const RelayPtr &it)
{
    relays.erase(it);
    // The call must not be destroyed from within its own callback.
    options.loop.post([held = it] { held->call.reset(); });
}

void RelayServer::Private::checkPath(const HttpExchangePtr &exchange)
{
    const std::string target = exchange->path() + "?" + exchange->query();
    if (!options.verify(exchange->header(RelayClient::SignatureHeader), target))
        return exchange->respond(403, {}, {});
    const ReplicaRecord *replica = options.findReplica(exchange->queryValue("replica"));
    const bool hasCrashedBefore = replica && options.hasCrashedBefore(*replica);
    if (!replica || options.isPathLost(*replica))
        return answerCheck(exchange, hasCrashedBefore ? "crashed_before" : "unknown");
    if (const std::uint64_t limit = exchange->queryNumber(RelayClient::ReceivedWithin); limit > 0) {
        const std::optional<Duration> since = options.sinceReceived(*replica);
        const bool received = since && static_cast<std::uint64_t>(*since / 1ms) <= limit;
        return answerCheck(exchange, received ? RelayClient::ReceivedAnswer : "silent");
    }
    const auto check = std::make_shared<Check>();
    check->exchange = exchange;
    check->replica = replica->incarnation();
    check->hasCrashedBefore = hasCrashedBefore;
    const auto found = [this, check](ConnectProbe::Outcome outcome) {
        // A proxy accepts connections also while the replica is down.
        if (outcome == ConnectProbe::Outcome::Connected
            || outcome == ConnectProbe::Outcome::StayedOpen || !check->probe)
            return;
        const std::shared_ptr<ConnectProbe> probe = std::exchange(check->probe, nullptr);
        check->outcome = outcome;
        answerWhenKnown(*check);
        probes.erase(probe);
        options.loop.post([probe] {});
    };
    // Both start at the same moment, so that a path that was lost or returned meanwhile is not
    // taken for the end of the replica.
    check->probe =
            std::make_shared<ConnectProbe>(options.loop, replica->address, options.sourceIp, found);
    probes.insert(check->probe);
    options.checkPaths(*replica, [this, check](bool working) {
        check->arePathsWorking = working;
        answerWhenKnown(*check);
    });
}

void RelayServer::Private::answerWhenKnown(Check &check) const
{
    const bool isClosed = check.outcome == ConnectProbe::Outcome::Closed;
    if (!check.exchange || !check.outcome || (isClosed && !check.arePathsWorking))
        return;
    std::string_view text = "unknown";
    if (check.outcome == ConnectProbe::Outcome::ProvenOpen)
        text = "reached";
    else if (isClosed && *check.arePathsWorking)
        text = check.hasCrashedBefore ? "crashed_before" : "refused";
    const std::optional<Duration> brokenFor =
            isClosed ? options.crashes.brokenFor(check.replica) : std::nullopt;
    answerCheck(std::exchange(check.exchange, nullptr), text, brokenFor);
}

void RelayServer::Private::answerCheck(const HttpExchangePtr &exchange, std::string_view text,
                                       std::optional<Duration> brokenFor)
{
    HttpHeaders headers{{"Content-Type", "text/plain"}};
    if (brokenFor)
        headers.emplace_back(RelayClient::BrokenForHeader, fmt::format("{}", *brokenFor / 1ms));
    exchange->respond(200, headers, text);
}

void RelayServer::Private::forgetOld()
{
    const TimePoint now = options.loop.now();
    if (now - forgotAt < ForgetInterval)
        return;
    forgotAt = now;
    const std::int64_t oldest = options.loop.wallNow().time_since_epoch() / 1ms - TicketLifetimeMs;
    std::erase_if(seen, [oldest](const auto &it) { return it.second < oldest; });
}

} // namespace catkinloft
