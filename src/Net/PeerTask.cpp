#include "Net/PeerTask.h"

#include "Control/PeerGuard.h"
#include "Control/TrafficGovernor.h"
#include "Net/ConnectionLog.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/PeerTransport.h"
#include "Net/Timer.h"

#include <algorithm>

namespace catkinloft {

namespace {

constexpr const char *PeerPath = "/v1/peer";

/// Timeout of a peer's answer; afterwards this peer or another one is asked again.
constexpr Duration BodyTimeout = std::chrono::seconds(5);

/// Largest accepted body: several times the size of an escaped inventory of 10,000 engines.
constexpr std::size_t MaxBody = 32 * 1024 * 1024;

/// Shortest timer delay, so that a deadline in the past doesn't cause a busy loop.
constexpr Duration MinSleep = std::chrono::milliseconds(1);

Member selfOf(const Settings &settings, const Clock &clock)
{
    // The start time is the first incarnation, so that a restarted router overrides what other
    // routers still know about the previous process of that name.
    return {.name = settings.name,
            .callerAddress = settings.callerAddress,
            .peerAddress = settings.peerAddress,
            .failureDomain = settings.failureDomain,
            .incarnation = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count())};
}

} // namespace

struct PeerTask::Private
{
    explicit Private(Options o);

    void received(const std::string &address, std::string_view datagram);
    void send(const std::string &address, PeerMessage message);
    void fetchLarge(const std::string &address);
    void answerLarge(const HttpExchangePtr &exchange);
    bool isRefused(PeerFault fault);
    void schedule();
    void wake();

    Options options;
    TrafficGovernor governor;
    PeerGuard guard;
    Membership membership;
    ConfigPropagator propagator;
    PeerTransport transport;
    HttpServer server;
    Timer timer;
    bool fetching = false;
};

PeerTask::Private::Private(Options o)
    : options(std::move(o)), governor({.clock = options.loop}),
      guard({.clock = options.loop,
             .self = options.settings.name,
             .keys = options.settings.peerKeys}),
      membership(
              {.clock = options.loop,
               .random = options.random,
               .self = selfOf(options.settings, options.loop),
               .send = [this](const std::string &to, PeerMessage it) { send(to, std::move(it)); },
               .digest = [this] { return options.config.digest(); },
               .mayDefer = [this] { return governor.allowsDeferrable(); }}),
      propagator(
              {.clock = options.loop,
               .config = options.config,
               .membership = membership,
               .send = [this](const std::string &to, PeerMessage it) { send(to, std::move(it)); },
               .fetchLarge = [this](const std::string &from,
                                    const ConfigDigest &) { fetchLarge(from); }}),
      transport(options.loop,
                [this](const std::string &from, std::string_view it) { received(from, it); }),
      server(options.loop,
             options.connectionLog.observed({.address = options.settings.peerAddress,
                                             .limits = {.maxBodyBytes = 64 * 1024},
                                             .buffers = options.requestBuffers}),
             [this](const HttpExchangePtr &it) { answerLarge(it); }),
      timer(options.loop, [this] { wake(); })
{
    for (const std::string &it : options.settings.seeds)
        membership.addSeed(it);
    // Connected after the propagator's own slot, which requests that gossip is repeated soon.
    options.config.changed().connect([this](const InventoryPtr &) { schedule(); });
    options.metrics.addCollector([this](Metrics &metrics) {
        metrics.set("catkinloft_members", static_cast<double>(membership.liveCount() + 1));
        metrics.set("catkinloft_control_sent_bytes", static_cast<double>(governor.total()));
    });
}

bool PeerTask::Private::isRefused(PeerFault fault)
{
    if (fault == PeerFault::None)
        return false;
    options.metrics.count("catkinloft_peer_refused_total",
                          Metrics::label("fault", peerFaultName(fault)));
    return true;
}

void PeerTask::Private::received(const std::string &address, std::string_view datagram)
{
    const PeerGuard::Opened opened = guard.open(datagram);
    if (isRefused(opened.fault))
        return;
    membership.receive(address, opened.message);
    propagator.receive(address, opened.message);
    schedule();
}

void PeerTask::Private::send(const std::string &address, PeerMessage message)
{
    std::string datagram = guard.seal(message);
    while (datagram.size() > PeerCodec::MaxDatagram && !message.updates.empty()) {
        message.updates.pop_back();
        datagram = guard.seal(message);
    }
    if (datagram.size() > PeerCodec::MaxDatagram) {
        // Only a delta with many characters that JSON escapes is still too large here.
        message.kind = PeerMessageKind::ConfigLarge;
        message.delta.clear();
        datagram = guard.seal(message);
    }
    governor.countDatagram(datagram.size());
    transport.send(address, datagram);
}

void PeerTask::Private::fetchLarge(const std::string &address)
{
    if (fetching)
        return;
    fetching = true;
    std::string body = guard.seal(membership.compose(PeerMessageKind::ConfigRequest, {}));
    governor.countConnection(body.size());
    options.client.fetch({.address = address,
                          .method = "POST",
                          .target = PeerPath,
                          .body = std::move(body),
                          .timeout = BodyTimeout,
                          .maxBodyBytes = MaxBody},
                         [this](const Result<HttpAnswer> &answer) {
                             fetching = false;
                             if (!answer || answer.value().head.status != 200)
                                 return;
                             const PeerGuard::Opened opened = guard.open(answer.value().body);
                             if (!isRefused(opened.fault))
                                 propagator.applyDelta(opened.message);
                             schedule();
                         });
}

void PeerTask::Private::answerLarge(const HttpExchangePtr &exchange)
{
    if (exchange->path() != PeerPath || exchange->method() != "POST") {
        exchange->respond(404, {}, {});
        return;
    }
    const PeerGuard::Opened opened = guard.open(exchange->body());
    if (isRefused(opened.fault)) {
        exchange->respond(403, {}, {});
        return;
    }
    // A whole inventory uses up minutes of the byte limit; another router may have capacity left.
    if (!governor.allowsDeferrable()) {
        exchange->respond(503, {}, {});
        return;
    }
    const std::string body = guard.seal(propagator.deltaSince(opened.message.digest));
    governor.countConnection(body.size());
    exchange->respond(200, {{"Content-Type", "application/octet-stream"}}, body);
}

void PeerTask::Private::wake()
{
    membership.poll();
    propagator.poll();
    schedule();
}

void PeerTask::Private::schedule()
{
    const TimePoint next = std::min(membership.nextDeadline(), propagator.nextDeadline());
    timer.start(std::max(MinSleep, next - options.loop.now()));
}

PeerTask::PeerTask(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

PeerTask::~PeerTask() = default;

Result<void> PeerTask::start()
{
    if (Result<void> bound = m_d->transport.bind(m_d->options.settings.peerAddress); !bound)
        return bound;
    if (Result<void> listening = m_d->server.listen(); !listening)
        return listening;
    m_d->wake();
    return outcome::success();
}

void PeerTask::leave()
{
    m_d->membership.leave();
    m_d->schedule();
}

void PeerTask::setKeys(std::vector<SharedKey> keys)
{
    m_d->guard.setKeys(std::move(keys));
}

TrafficGovernor &PeerTask::governor()
{
    return m_d->governor;
}

Membership &PeerTask::membership()
{
    return m_d->membership;
}

ConfigPropagator &PeerTask::propagator()
{
    return m_d->propagator;
}

} // namespace catkinloft
