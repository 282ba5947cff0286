#include "Net/FleetTask.h"

#include "Base/Json.h"
#include "Base/Log.h"
#include "Control/ConfigInForce.h"
#include "Control/PeerGuard.h"
#include "Control/ReplicaRegistry.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/PeerTransport.h"
#include "Net/Timer.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Pause between beats. Counts of requests in progress are at most this old, and a router that
/// stopped is missed after six.
constexpr Duration BeatInterval = 250ms;

/// Routers that one beat goes to. Nine routers hear each other at each beat; in a larger fleet the
/// cost of a router stays the same and news takes longer.
constexpr std::size_t BeatFanout = 16;

/// Parts of prompts that one beat tells of: it has to fit one datagram of 1,200 bytes with the
/// counts. More are only told at over 100 prompts a second and router, and are hints.
constexpr std::size_t MaxPromptParts = 40;

constexpr const char *StatePath = "/v1/state";
constexpr const char *SignatureHeader = "X-Catkinloft-Signature";

/// A peer on the same platform answers in milliseconds; another one is asked after this.
constexpr Duration StateTimeout = 600ms;

constexpr std::size_t MaxStateBody = 32 * 1024 * 1024;

/// A peer whose proof is older can't help.
constexpr Duration MaxPeerProofAge = 2s;

std::int64_t toMilliseconds(Duration d)
{
    return std::chrono::ceil<std::chrono::milliseconds>(d).count();
}

} // namespace

struct FleetTask::Private
{
    explicit Private(Options o);

    void beat();
    void received(std::string_view datagram);
    void answerState(const HttpExchangePtr &exchange);
    Json::Value stateSince(std::uint64_t revision) const;
    void takeState(const Json::Value &state, TimePoint asked);
    std::string signedText(const std::string &text) const { return guard.sign(text) + "\n" + text; }

    Options options;
    PeerGuard guard;
    BeatCodec codec;
    FleetView view;
    PeerTransport transport;
    HttpServer server;
    Timer timer;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> prompts; ///< Not told yet.
    std::size_t promptCount = 0;
    bool hasKey = false;
    bool leaving = false;
    bool fetching = false;
};

FleetTask::Private::Private(Options o)
    : options(std::move(o)),
      guard({.clock = options.loop, .self = options.settings.name, .keys = {}}),
      view({.clock = options.loop, .self = options.settings.name}),
      transport(options.loop, [this](const std::string &, std::string_view it) { received(it); }),
      server(options.loop, {.address = options.settings.peerAddress, .limits = {}},
             [this](const HttpExchangePtr &it) { answerState(it); }),
      timer(options.loop, [this] { beat(); }),
      incarnation(static_cast<std::uint64_t>(options.loop.wallNow().time_since_epoch().count()))
{
    options.metrics.addCollector([this](Metrics &metrics) {
        metrics.set("catkinloft_live_routers", static_cast<double>(view.live().size() + 1));
        metrics.set("catkinloft_sharing_routers", view.sharers());
    });
}

void FleetTask::Private::beat()
{
    if (!hasKey)
        return;
    RouterBeat beat{.name = options.settings.name,
                    .incarnation = incarnation,
                    .sequence = ++sequence,
                    .callerAddress = options.settings.callerAddress,
                    .peerAddress = options.settings.peerAddress,
                    .failureDomain = options.settings.failureDomain,
                    .ready = options.isReady() && !leaving,
                    .leaving = leaving,
                    .revision = options.config.revision(),
                    .proofAge = options.config.proofAge(),
                    .replicasAge = options.replicas.age(),
                    .counts = options.ownCounts(),
                    .prompts = std::exchange(prompts, {})};
    promptCount = 0;
    const std::string datagram = signedText(BeatCodec::encode(beat));
    for (const std::string &it : view.nextTargets(BeatFanout))
        transport.send(it, datagram);
}

void FleetTask::Private::received(std::string_view datagram)
{
    const std::size_t end = datagram.find('\n');
    if (!hasKey || end == std::string_view::npos)
        return;
    const std::string text(datagram.substr(end + 1));
    if (!guard.verify(datagram.substr(0, end), text)) {
        options.metrics.count("catkinloft_peer_refused_total",
                              Metrics::label("fault", peerFaultName(PeerFault::Forged)));
        return;
    }
    Result<RouterBeat> beat = codec.decode(text);
    if (!beat) {
        options.metrics.count("catkinloft_peer_refused_total",
                              Metrics::label("fault", peerFaultName(PeerFault::Malformed)));
        return;
    }
    if (!view.receive(beat.value()))
        return;
    // Its proof of the configuration is not taken over: a datagram may have waited here for as long
    // as this VM was suspended. What a peer answers to a question is at least as new as that.
    options.onBeat(beat.value());
}

void FleetTask::Private::answerState(const HttpExchangePtr &exchange)
{
    const std::string target = exchange->path() + "?" + exchange->query();
    if (exchange->path() != StatePath) {
        exchange->respond(404, {}, {});
        return;
    }
    if (!hasKey || !guard.verify(exchange->header(SignatureHeader), target)) {
        exchange->respond(403, {}, {});
        return;
    }
    const std::string text = exchange->queryValue("revision");
    std::uint64_t revision = 0;
    std::from_chars(text.data(), text.data() + text.size(), revision);
    exchange->respond(200, {{"Content-Type", "application/octet-stream"}},
                      signedText(printJson(stateSince(revision))));
}

Json::Value FleetTask::Private::stateSince(std::uint64_t revision) const
{
    Json::Value out(Json::objectValue);
    const ConfigInForce &config = options.config;
    if (config.config()) {
        out["revision"] = static_cast<Json::UInt64>(config.revision());
        out["proof_age_ms"] = static_cast<Json::Int64>(toMilliseconds(config.proofAge()));
        if (config.revision() > revision)
            out["config"] = config.config()->sourceText;
    }
    if (options.replicas.age() != Duration::max()) {
        out["replicas"] = options.replicas.sourceText();
        out["replicas_age_ms"] = static_cast<Json::Int64>(toMilliseconds(options.replicas.age()));
    }
    return out;
}

void FleetTask::Private::takeState(const Json::Value &state, TimePoint asked)
{
    try {
        const auto began = [&](const char *age) {
            return asked - std::chrono::milliseconds(state[age].asInt64());
        };
        if (state.isMember("config"))
            options.onConfigText(state["config"].asString(), began("proof_age_ms"));
        else if (state.isMember("revision"))
            options.config.confirm(state["revision"].asUInt64(), began("proof_age_ms"));
        if (state.isMember("replicas"))
            options.onReplicasText(state["replicas"].asString(), began("replicas_age_ms"));
    } catch (const Json::Exception &e) {
        Log::warning("peer_state_malformed", {{"detail", e.what()}});
    }
}

FleetTask::FleetTask(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

FleetTask::~FleetTask() = default;

Result<void> FleetTask::start()
{
    if (Result<void> bound = m_d->transport.bind(m_d->options.settings.peerAddress); !bound)
        return bound;
    if (Result<void> listening = m_d->server.listen(); !listening)
        return listening;
    m_d->timer.startRepeating(BeatInterval);
    return outcome::success();
}

void FleetTask::setKey(const SharedKey &key)
{
    m_d->guard.setKeys({key});
    m_d->hasKey = true;
    m_d->beat();
}

void FleetTask::notePrompt(const std::string &replica, std::span<const PromptPart> prompt)
{
    std::vector<std::uint64_t> &parts = m_d->prompts[replica];
    for (const PromptPart &it : prompt) {
        if (m_d->promptCount >= MaxPromptParts)
            return;
        if (std::find(parts.begin(), parts.end(), it.id) == parts.end()) {
            parts.push_back(it.id);
            ++m_d->promptCount;
        }
    }
}

void FleetTask::leave()
{
    m_d->leaving = true;
    m_d->beat();
}

void FleetTask::fetchFromPeer()
{
    const FleetView::Peer *peer = m_d->view.freshest(MaxPeerProofAge);
    if (!peer || m_d->fetching || !m_d->hasKey)
        return;
    m_d->fetching = true;
    const TimePoint asked = m_d->options.loop.now();
    std::string target = fmt::format("{}?revision={}", StatePath, m_d->options.config.revision());
    std::string signature = m_d->guard.sign(target);
    m_d->options.client.fetch(
            {.address = peer->beat.peerAddress,
             .target = std::move(target),
             .headers = {{SignatureHeader, std::move(signature)}},
             .timeout = StateTimeout,
             .maxBodyBytes = MaxStateBody},
            [d = m_d.get(), asked, name = peer->beat.name](const Result<HttpAnswer> &answer) {
                d->fetching = false;
                if (!answer || answer.value().head.status != 200) {
                    Log::info("peer_state_missed",
                              {{"router", name},
                               {"detail", answer ? "refused" : answer.error().detail}});
                    return;
                }
                const std::string &body = answer.value().body;
                const std::size_t end = body.find('\n');
                if (end == std::string::npos
                    || !d->guard.verify(std::string_view(body).substr(0, end),
                                        std::string_view(body).substr(end + 1))) {
                    Log::warning("peer_state_forged", {{"router", name}});
                    return;
                }
                if (const Result<Json::Value> state = parseJsonObject(body.substr(end + 1)); state)
                    d->takeState(state.value(), asked);
            });
}

FleetView &FleetTask::view()
{
    return m_d->view;
}

} // namespace catkinloft
