#include "Net/FleetTask.h"

#include "Base/Log.h"
#include "Control/ActiveConfig.h"
#include "Control/ConfigTextCache.h"
#include "Control/EvacuatedDomains.h"
#include "Control/PeerCatchUp.h"
#include "Control/PeerGuard.h"
#include "Control/PeerState.h"
#include "Control/PromptUpdates.h"
#include "Control/ReplicaRegistry.h"
#include "Control/StreamOriginCodec.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/PeerTransport.h"
#include "Net/RelayServer.h"
#include "Net/StreamOriginTask.h"
#include "Net/Timer.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Interval at which a router that doesn't read the store asks one that does, as a fraction of the
/// time in which changes have to be active. Its freshness proof is then at most three such
/// intervals old, two of which are the reader's; the reader's heartbeat after a change arrives
/// sooner. One ask costs two datagrams.
constexpr double AskIntervalFraction = 0.2;

/// Number of routers to which an ejection, or a request that crashes replicas, is announced
/// immediately. In a large fleet many routers eject a failing replica, so that each of the others
/// receives an update from a few of them. Updates about requests are forwarded by their receivers.
constexpr std::size_t UrgentFanout = 78;

/// All requests on a replica break at the same time; the delay collects them in one datagram.
constexpr Duration CrashAnnounceDelay = 20ms;

/// Streams often begin together; the delay collects their origins in one datagram.
constexpr Duration StreamOriginDelay = 20ms;

/// Routers that hold the evidence against one request: enough that one of them is running and
/// receives all of it while others start or are disconnected. In a small fleet all routers hold it.
constexpr std::size_t EvidenceHolders = 8;

/// First crashes in one datagram, at about 90 bytes each.
constexpr std::size_t MaxFirstCrashes = 7;

/// Prompt parts in one heartbeat, which has to fit one datagram of 1,200 bytes together with the
/// counts. The limit is reached only above 100 prompts per second and router. Parts that don't fit
/// wait for later heartbeats; dropping some is acceptable because they are hints.
constexpr std::size_t MaxPromptParts = 40;

/// Prompt parts in a heartbeat that also carries crashes, which take up to 550 bytes.
constexpr std::size_t MaxPromptPartsBesideCrashes = 10;

constexpr const char *StatePath = "/v1/state";
constexpr const char *SignatureHeader = "X-Catkinloft-Signature";

/// Time without progress after which a peer counts as unresponsive; peers on the same platform
/// answer in milliseconds. A transfer that makes progress continues: a large configuration takes a
/// second over a link of 10 Mbit/s that also carries streams, and aborting it would waste the part
/// that was sent.
constexpr Duration PeerTimeout = 600ms;

/// Timeout of a whole transfer, as a multiple of the time in which changes have to be active. By
/// then the store has been read directly.
constexpr int StateTimeoutFactor = 2;

constexpr std::size_t MaxStateBody = 32 * 1024 * 1024;

/// Connections of other routers. Each has one at a time for questions, and a few for requests that
/// it relays; routers that are refused ask another one, or the store.
constexpr int MaxPeerConnections = 512;

/// Space for the header that the sender of a relayed request adds.
constexpr std::size_t MaxTicketBytes = 1024;

/// An unanswered ask to a router that reads the store.
struct Ask
{
    TimePoint at;
    std::string reader;

    /// \returns the number that the answer has to echo.
    std::uint64_t number() const
    {
        return static_cast<std::uint64_t>(at.time_since_epoch().count());
    }
};

} // namespace

struct FleetTask::Private
{
    explicit Private(Options o);

    RouterHeartbeat compose();
    std::vector<std::string> readers() const;
    bool isReader(std::span<const std::string> all) const;
    void send(const std::string &address, const RouterHeartbeat &heartbeat);
    void sendTo(std::span<const std::string> addresses, const RouterHeartbeat &heartbeat);
    void sendToNext(std::size_t n, const RouterHeartbeat &heartbeat);
    void sendToAll(const RouterHeartbeat &heartbeat) { sendToNext(view.addressCount(), heartbeat); }
    void noteUnanswered();
    void heartbeat();
    void announceCrashes();
    void announceFirstCrashes();
    void announceStreamOrigins();
    void ask();
    void received(std::string_view datagram);
    void receivedOrigins(std::string_view text);
    void receivedUnverified(const std::string &text);
    void applyEcho(const RouterHeartbeat &heartbeat);
    void fetchIfNewer(const RouterHeartbeat &heartbeat);
    void fetchFrom(const FleetView::Peer &peer);
    void answerState(const HttpExchangePtr &exchange);
    PeerState stateSince(std::uint64_t revision, std::uint64_t replicasHash, bool withPrompts);
    void handleStateAnswer(const std::string &name, const Result<HttpAnswer> &answer,
                           TimePoint asked);
    void applyState(const PeerState &state, TimePoint asked);
    void applyConfig(const PeerState &state, TimePoint asked);
    void applyReplicas(const PeerState &state, TimePoint readStartedAt);
    const PeerState::Packed &replicasSince(std::uint64_t hash);
    std::string signedText(const std::string &text) const { return guard.sign(text) + "\n" + text; }

    Options options;
    PeerGuard guard;
    HeartbeatCodec codec;
    FleetView view;
    PeerTransport transport;
    std::unique_ptr<HttpServer> server;
    Timer timer;
    Timer askTimer;
    Timer crashTimer;
    Timer streamOriginTimer;
    PeerCatchUp catchUp;
    ConfigTextCache configTexts;
    /// Packed updates to the list with \a packedHash, by the hash of the list that they start from.
    std::map<std::uint64_t, PeerState::Packed> packedReplicas;
    std::uint64_t packedHash = 0; ///< Hash of the newest packed replica list.
    std::vector<Ask> asks;
    std::size_t nextReader = 0;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    PromptUpdates prompts{options.loop};
    SharedKey key; ///< Signs heartbeats; valid if hasKey is set.
    bool hasKey = false;
    bool leaving = false;
    bool fetching = false;
};

FleetTask::Private::Private(Options o)
    : options(std::move(o)),
      guard({.clock = options.loop, .self = options.settings.name, .keys = {}}),
      view({.clock = options.loop,
            .self = options.settings.name,
            .selfAddress = options.settings.peerAddress,
            .configApplyTimeout = options.settings.configApplyTimeout}),
      transport(options.loop, [this](const std::string &, std::string_view it) { received(it); }),
      server(options.makeServer(options.settings.peerAddress,
                                {.maxHeaderBytes = options.settings.maxHeaderBytes + MaxTicketBytes,
                                 .maxBodyBytes = options.settings.maxBodyBytes,
                                 .maxConnections = MaxPeerConnections},
                                [this](const HttpExchangePtr &it) { answerState(it); })),
      timer(options.loop, [this] { heartbeat(); }), askTimer(options.loop, [this] { ask(); }),
      crashTimer(options.loop, [this] { announceCrashes(); }),
      streamOriginTimer(options.loop, [this] { announceStreamOrigins(); }),
      catchUp({.configApplyTimeout = options.settings.configApplyTimeout}),
      incarnation(static_cast<std::uint64_t>(options.loop.wallNow().time_since_epoch().count()))
{
    options.config.changed().connect(
            [this](const RouteConfigPtr &it) { configTexts.add(it->revision, it->sourceText); });
    options.metrics.addCollector([this](Metrics &metrics) {
        metrics.set("catkinloft_live_routers", static_cast<double>(view.live().size() + 1));
        metrics.set("catkinloft_sharing_routers", view.sharingRouters());
    });
}

RouterHeartbeat FleetTask::Private::compose()
{
    const EvacuatedDomains &evacuated = options.evacuated;
    return {.name = options.settings.name,
            .incarnation = incarnation,
            .sequence = ++sequence,
            .callerAddress = options.settings.callerAddress,
            .peerAddress = options.settings.peerAddress,
            .failureDomain = options.settings.failureDomain,
            .processorShare = options.settings.processorShare,
            .ready = options.isReady() && !leaving,
            .leaving = leaving,
            .revision = options.config.revision(),
            .proofAge = options.config.proofAge(),
            .storeFailing = options.storeFailing(),
            .storeUnansweredFor = options.storeUnansweredFor(),
            .replicasAge = options.replicas.age(),
            .replicasHash = options.replicas.hash(),
            .replicasPosition = options.replicas.position(),
            .evacuated = evacuated.shouldAnnounce() ? evacuated.state() : EvacuatedDomains::State(),
            .replicas = options.ownStatusUpdate(),
            .relays = true,
            .unreachableServices = options.unreachableServices(),
            .brittle = options.brittleServices()};
}

std::vector<std::string> FleetTask::Private::readers() const
{
    return view.readers({.name = options.settings.name,
                         .processorShare = options.settings.processorShare,
                         .leaving = leaving,
                         .storeFailing = options.storeFailing(),
                         .storeUnansweredFor = options.storeUnansweredFor()});
}

bool FleetTask::Private::isReader(std::span<const std::string> all) const
{
    return std::find(all.begin(), all.end(), options.settings.name) != all.end();
}

void FleetTask::Private::send(const std::string &address, const RouterHeartbeat &heartbeat)
{
    sendTo({&address, 1}, heartbeat);
}

void FleetTask::Private::sendTo(std::span<const std::string> addresses,
                                const RouterHeartbeat &heartbeat)
{
    if (!hasKey)
        return;
    const std::string datagram = signedText(HeartbeatCodec::pack(heartbeat));
    for (const std::string &it : addresses)
        transport.send(it, datagram);
}

void FleetTask::Private::sendToNext(std::size_t n, const RouterHeartbeat &heartbeat)
{
    sendTo(view.nextTargets(n), heartbeat);
}

void FleetTask::Private::heartbeat()
{
    if (!hasKey)
        return;
    RouterHeartbeat out = compose();
    out.crashes = options.takeCrashUpdates();
    out.prompts = prompts.take(view.heartbeatsPerRound(),
                               out.crashes.empty() ? MaxPromptParts : MaxPromptPartsBesideCrashes);
    sendToNext(FleetView::HeartbeatFanout, out);
    announceFirstCrashes();
}

void FleetTask::Private::announceCrashes()
{
    if (!hasKey)
        return;
    if (std::vector<CrashUpdate> updates = options.takeCrashUpdates(); !updates.empty()) {
        RouterHeartbeat out = compose();
        out.crashes = std::move(updates);
        sendToNext(UrgentFanout, out);
    }
    announceFirstCrashes();
}

void FleetTask::Private::announceFirstCrashes()
{
    std::map<std::string, std::vector<CrashUpdate>> byHolder;
    for (const CrashUpdate &it : options.takeFirstCrashes()) {
        for (const std::string &address : view.holdersOf(it.fingerprint, EvidenceHolders))
            byHolder[address].push_back(it);
    }
    for (const auto &[address, updates] : byHolder) {
        for (std::size_t i = 0; i < updates.size(); i += MaxFirstCrashes) {
            RouterHeartbeat out = compose();
            const std::size_t n = std::min(MaxFirstCrashes, updates.size() - i);
            const auto part = std::span(updates).subspan(i, n);
            out.crashes.assign(part.begin(), part.end());
            send(address, out);
        }
    }
}

void FleetTask::Private::announceStreamOrigins()
{
    if (!hasKey)
        return;
    std::map<std::string, std::vector<StreamOrigin>> byKeeper;
    for (const StreamOrigin &it : options.takeStreamOrigins()) {
        for (const std::string &address : view.holdersOf(it.stream, StreamOriginTask::Keepers))
            byKeeper[address].push_back(it);
    }
    for (const auto &[address, origins] : byKeeper) {
        for (std::size_t i = 0; i < origins.size(); i += StreamOriginCodec::MaxOrigins) {
            const std::size_t n = std::min(StreamOriginCodec::MaxOrigins, origins.size() - i);
            transport.send(
                    address,
                    signedText(StreamOriginCodec::encodeOrigins(std::span(origins).subspan(i, n))));
        }
    }
}

void FleetTask::Private::noteUnanswered()
{
    const TimePoint now = options.loop.now();
    std::erase_if(asks, [&](const Ask &it) {
        const bool overdue = now - it.at > PeerTimeout;
        if (overdue)
            view.noteUnanswered(it.reader, it.at);
        return overdue;
    });
}

void FleetTask::Private::ask()
{
    noteUnanswered();
    const std::vector<std::string> all = readers();
    if (!hasKey || all.empty() || isReader(all))
        return;
    const std::string &reader = all[nextReader++ % all.size()];
    asks.push_back({.at = options.loop.now(), .reader = reader});
    RouterHeartbeat out = compose();
    out.ask = asks.back().number();
    send(view.peerAddressOf(reader), out);
}

void FleetTask::Private::received(std::string_view datagram)
{
    const std::size_t end = datagram.find('\n');
    if (end == std::string_view::npos)
        return;
    const std::string text(datagram.substr(end + 1));
    if (!hasKey)
        return receivedUnverified(text);
    if (!guard.verify(datagram.substr(0, end), text)) {
        options.metrics.count("catkinloft_peer_refused_total",
                              Metrics::label("fault", peerFaultName(PeerFault::Forged)));
        return;
    }
    if (StreamOriginCodec::isOrigins(text))
        return receivedOrigins(text);
    const Result<RouterHeartbeat> read = codec.unpack(text);
    if (!read) {
        options.metrics.count("catkinloft_peer_refused_total",
                              Metrics::label("fault", peerFaultName(PeerFault::Malformed)));
        return;
    }
    const RouterHeartbeat &heartbeat = read.value();
    if (!view.receive(heartbeat))
        return;
    if (heartbeat.ask != 0) {
        RouterHeartbeat answer = compose();
        answer.echo = heartbeat.ask;
        send(heartbeat.peerAddress, answer);
    }
    // Before the freshness proof is applied, because the proof covers the evacuations too.
    options.evacuated.accept(heartbeat.evacuated);
    if (heartbeat.echo != 0)
        applyEcho(heartbeat);
    fetchIfNewer(heartbeat);
    options.onHeartbeat(heartbeat);
}

void FleetTask::Private::receivedOrigins(std::string_view text)
{
    const Result<std::vector<StreamOrigin>> origins = StreamOriginCodec::decodeOrigins(text);
    if (origins)
        return options.onStreamOrigins(origins.value());
    options.metrics.count("catkinloft_peer_refused_total",
                          Metrics::label("fault", peerFaultName(PeerFault::Malformed)));
}

void FleetTask::Private::receivedUnverified(const std::string &text)
{
    if (const Result<RouterHeartbeat> read = codec.unpack(text))
        options.onUnverifiedHeartbeat(read.value());
}

void FleetTask::Private::applyEcho(const RouterHeartbeat &heartbeat)
{
    // Only an answer proves freshness, because it was sent after its ask. Any other datagram may
    // have been queued on this VM for as long as the VM was suspended.
    const auto found = std::find_if(asks.begin(), asks.end(),
                                    [&](const Ask &it) { return it.number() == heartbeat.echo; });
    if (found == asks.end())
        return;
    const TimePoint asked = found->at;
    asks.erase(found);
    if (heartbeat.proofAge != Duration::max())
        options.config.confirm(heartbeat.revision, asked - heartbeat.proofAge);
    if (heartbeat.replicasAge != Duration::max())
        options.replicas.confirm(heartbeat.replicasHash, heartbeat.replicasPosition,
                                 asked - heartbeat.replicasAge);
}

void FleetTask::Private::fetchIfNewer(const RouterHeartbeat &heartbeat)
{
    const PeerCatchUp::Known own{.revision = options.config.revision(),
                                 .proofAge = options.config.proofAge(),
                                 .replicasHash = options.replicas.hash(),
                                 .replicasPosition = options.replicas.position()};
    if (!catchUp.shouldFetchFrom(heartbeat, own))
        return;
    if (const FleetView::Peer *peer = view.find(heartbeat.name))
        fetchFrom(*peer);
}

void FleetTask::Private::answerState(const HttpExchangePtr &exchange)
{
    const std::string target = exchange->path() + "?" + exchange->query();
    if (RelayServer::accepts(*exchange))
        return options.onRelay(exchange);
    if (StreamOriginTask::accepts(*exchange))
        return options.onStreamOriginQuestion(exchange);
    if (exchange->path() != StatePath) {
        exchange->respond(404, {}, {});
        return;
    }
    if (!hasKey || !guard.verify(exchange->header(SignatureHeader), target)) {
        exchange->respond(403, {}, {});
        return;
    }
    exchange->respond(200, {{"Content-Type", "application/octet-stream"}},
                      signedText(stateSince(exchange->queryNumber("revision"),
                                            exchange->queryNumber("replicas"),
                                            exchange->queryNumber("prompts") != 0)
                                         .encode()));
}

PeerState FleetTask::Private::stateSince(std::uint64_t revision, std::uint64_t replicasHash,
                                         bool withPrompts)
{
    const ActiveConfig &config = options.config;
    const ReplicaRegistry &replicas = options.replicas;
    PeerState out{.revision = config.revision(),
                  .proofAge = config.proofAge(),
                  .replicasAge = replicas.age(),
                  .replicasHash = replicas.hash(),
                  .replicasPosition = replicas.position()};
    out.evacuated = options.evacuated.state();
    configTexts.describe(revision, out);
    if (replicas.age() != Duration::max() && replicas.hash() != replicasHash)
        out.replicas = replicasSince(replicasHash);
    if (withPrompts)
        out.prompts = options.prompts();
    return out;
}

const PeerState::Packed &FleetTask::Private::replicasSince(std::uint64_t hash)
{
    if (packedHash != options.replicas.hash())
        packedReplicas.clear();
    packedHash = options.replicas.hash();
    const auto known = packedReplicas.find(hash);
    if (known != packedReplicas.end())
        return known->second;
    const ReplicaUpdate update = options.replicas.updateSince(hash);
    return packedReplicas.emplace(hash, PeerState::Packed::of(update.encode())).first->second;
}

void FleetTask::Private::applyConfig(const PeerState &state, TimePoint asked)
{
    const RouteConfigPtr &own = options.config.config();
    // The answer may belong to an older ask: a delta to another base than the active configuration
    // can't be applied.
    if (state.configBase != 0 && state.configBase != options.config.revision())
        return;
    const Result<std::string> text =
            ConfigTextCache::unpackText(state, own ? std::string_view(own->sourceText) : "");
    if (text)
        options.onConfigText(text.value(), asked - state.proofAge);
    else
        Log::warning("peer_state_malformed", {{"detail", text.error().detail}});
}

void FleetTask::Private::applyReplicas(const PeerState &state, TimePoint readStartedAt)
{
    const Result<std::string> text = state.replicas->text();
    Result<ReplicaUpdate> update =
            text ? ReplicaUpdate::decode(text.value()) : Result<ReplicaUpdate>(text.error());
    if (!update)
        return Log::warning("peer_replicas_malformed", {{"detail", update.error().detail}});
    // A packed update is reused while the list stays the same; its position is of the first use.
    update.value().position = state.replicasPosition;
    if (!options.replicas.applyUpdate(update.value(), readStartedAt))
        Log::info("peer_replicas_unusable",
                  {{"detail", "the update is based on an unknown replica list"}});
}

void FleetTask::Private::applyState(const PeerState &state, TimePoint asked)
{
    options.evacuated.accept(state.evacuated);
    // With an age of Duration::max() the peer has no data that the age would apply to.
    if (state.config)
        applyConfig(state, asked);
    else if (state.revision != 0)
        options.config.confirm(state.revision, asked - state.proofAge);
    if (state.replicas)
        applyReplicas(state, asked - state.replicasAge);
    else if (state.replicasAge != Duration::max())
        options.replicas.confirm(state.replicasHash, state.replicasPosition,
                                 asked - state.replicasAge);
    catchUp.promptsReceived(!state.prompts.empty());
    options.onPrompts(state.prompts);
}

FleetTask::FleetTask(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

FleetTask::~FleetTask() = default;

Result<void> FleetTask::start()
{
    if (Result<void> bound = m_d->transport.bind(m_d->options.settings.peerAddress); !bound)
        return bound;
    if (Result<void> listening = m_d->server->listen(); !listening)
        return listening;
    m_d->timer.startRepeating(FleetView::HeartbeatInterval);
    applySettings();
    return outcome::success();
}

void FleetTask::applySettings()
{
    const Duration limit = m_d->options.settings.configApplyTimeout;
    m_d->view.setConfigApplyTimeout(limit);
    m_d->catchUp.setConfigApplyTimeout(limit);
    m_d->askTimer.startRepeating(scaled(limit, AskIntervalFraction));
}

void FleetTask::setKey(const SharedKey &key)
{
    // Routers adopt another key one after the other; the former one remains valid for verification.
    std::vector<SharedKey> keys = {key};
    if (m_d->hasKey)
        keys.push_back(m_d->key);
    m_d->guard.setKeys(std::move(keys));
    m_d->key = key;
    m_d->hasKey = true;
    m_d->heartbeat();
}

void FleetTask::notePrompt(const std::string &replica, std::span<const PromptPart> prompt)
{
    m_d->prompts.note(replica, prompt);
}

void FleetTask::leave()
{
    m_d->leaving = true;
    announceToAll();
}

void FleetTask::fetchFromPeer()
{
    if (const FleetView::Peer *peer = m_d->view.freshest(m_d->catchUp.maxPeerProofAge()))
        m_d->fetchFrom(*peer);
}

void FleetTask::announceToAll()
{
    m_d->sendToAll(m_d->compose());
}

void FleetTask::announceEjection()
{
    m_d->sendToNext(UrgentFanout, m_d->compose());
}

void FleetTask::announceCrashes()
{
    if (!m_d->crashTimer.isPending())
        m_d->crashTimer.start(CrashAnnounceDelay);
}

void FleetTask::announceStreamOrigins()
{
    if (!m_d->streamOriginTimer.isPending())
        m_d->streamOriginTimer.start(StreamOriginDelay);
}

void FleetTask::announceDiscovered(const std::string &replica, std::span<const std::uint64_t> parts,
                                   std::span<const std::string> addresses)
{
    do {
        const std::size_t n = std::min(parts.size(), MaxPromptParts);
        RouterHeartbeat out = m_d->compose();
        out.prompts[replica].assign(parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(n));
        parts = parts.subspan(n);
        if (parts.empty())
            out.discovered.push_back(replica);
        m_d->sendTo(addresses, out);
    } while (!parts.empty());
}

std::uint64_t FleetTask::incarnation() const
{
    return m_d->incarnation;
}

bool FleetTask::isReader() const
{
    // Before the list of registered routers is known, this router would consider itself the only
    // one.
    return m_d->view.knowsRegistered() && m_d->isReader(m_d->readers());
}

void FleetTask::Private::fetchFrom(const FleetView::Peer &peer)
{
    if (fetching || !hasKey)
        return;
    fetching = true;
    const TimePoint asked = options.loop.now();
    std::string target = fmt::format("{}?revision={}&replicas={}&prompts={}", StatePath,
                                     options.config.revision(), options.replicas.hash(),
                                     catchUp.needsPrompts() ? 1 : 0);
    std::string signature = guard.sign(target);
    options.client.fetch(
            {.address = peer.heartbeat.peerAddress,
             .target = std::move(target),
             .headers = {{SignatureHeader, std::move(signature)}},
             .timeout = StateTimeoutFactor * options.settings.configApplyTimeout,
             .progressTimeout = PeerTimeout,
             .maxBodyBytes = MaxStateBody},
            [this, asked, name = peer.heartbeat.name](const Result<HttpAnswer> &answer) {
                fetching = false;
                handleStateAnswer(name, answer, asked);
            });
}

void FleetTask::Private::handleStateAnswer(const std::string &name,
                                           const Result<HttpAnswer> &answer, TimePoint asked)
{
    if (!answer || answer.value().head.status != 200) {
        Log::info("peer_state_missed",
                  {{"router", name}, {"detail", answer ? "refused" : answer.error().detail}});
        return;
    }
    const std::string_view body = answer.value().body;
    const std::size_t end = body.find('\n');
    if (end == std::string_view::npos || !guard.verify(body.substr(0, end), body.substr(end + 1))) {
        Log::warning("peer_state_forged", {{"router", name}});
        return;
    }
    const Result<PeerState> state = PeerState::decode(body.substr(end + 1));
    if (state)
        applyState(state.value(), asked);
    else
        Log::warning("peer_state_malformed", {{"router", name}, {"detail", state.error().detail}});
}

std::string FleetTask::sign(std::string_view text) const
{
    return m_d->hasKey ? m_d->guard.sign(text) : std::string();
}

bool FleetTask::verify(std::string_view signature, std::string_view text) const
{
    return m_d->hasKey && m_d->guard.verify(signature, text);
}

FleetView &FleetTask::view()
{
    return m_d->view;
}

} // namespace catkinloft
