#include "Net/RelayClient.h"

#include "Net/EventLoop.h"
#include "Net/internal/ConnectProbe.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <memory>
#include <system_error>
#include <utility>

#include <fmt/format.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Time for which a router that did not relay a request is avoided.
constexpr Duration AvoidTime = 1s;

/// Time for which the finding of a router that it can't connect to a replica counts.
constexpr Duration FindingLifetime = 2s;

/// Factor on the chance of routers outside of the failure domains of this router and the replica.
constexpr double FarFactor = 0.1;

/// Routers that are asked whether they reach a replica. Some of them may be partitioned from it at
/// the same time.
constexpr std::size_t AskedRouters = 3;

/// Time in which a router answers whether it reaches a replica: until a connection is established
/// and has stayed open for so long that no proxy will close it.
constexpr Duration CheckTimeout =
        internal::ConnectProbe::ConnectTimeout + internal::ConnectProbe::CloseTimeout;

constexpr int Success = 200;

/// The answers to one question about a path.
struct PathCheck
{
    std::function<void(RelayClient::PathState)> done; ///< Null after it was called.
    std::size_t pending = 0;
    bool refused = false;
    bool crashedBefore = false;

    /// Adds the answer of one router; empty if there is none.
    void add(std::string_view answer)
    {
        --pending;
        refused = refused || answer == "refused";
        crashedBefore = crashedBefore || answer == "crashed_before";
        if (answer == "reached")
            return finish(RelayClient::PathState::Reached);
        if (pending > 0)
            return;
        if (crashedBefore)
            return finish(RelayClient::PathState::CrashedBefore);
        finish(refused ? RelayClient::PathState::Refused : RelayClient::PathState::Unknown);
    }

    void finish(RelayClient::PathState state)
    {
        if (const auto callback = std::exchange(done, nullptr))
            callback(state);
    }
};

} // namespace

std::vector<RelayPeer> RelayClient::usable(const std::string &service)
{
    const TimePoint now = m_options.loop.now();
    std::erase_if(m_avoidedUntil, [now](const auto &it) { return it.second <= now; });
    std::vector<RelayPeer> out = m_options.peers(service);
    std::erase_if(out, [this](const RelayPeer &it) { return m_avoidedUntil.contains(it.name); });
    return out;
}

bool RelayClient::isAvailable(const std::string &service)
{
    return !usable(service).empty();
}

std::optional<RelayPeer> RelayClient::choose(const std::string &service,
                                             const std::string &failureDomain)
{
    const std::vector<RelayPeer> all = usable(service);
    std::vector<double> weights;
    double total = 0;
    for (const RelayPeer &it : all) {
        const bool isNear =
                it.failureDomain == m_options.failureDomain || it.failureDomain == failureDomain;
        weights.push_back(it.processorShare * (isNear ? 1 : FarFactor));
        total += weights.back();
    }
    double point = uniform(m_options.random) * total;
    for (std::size_t i = 0; i < all.size(); ++i) {
        point -= weights[i];
        if (point < 0 || i + 1 == all.size())
            return all[i];
    }
    return std::nullopt;
}

void RelayClient::noteFailed(const std::string &name)
{
    m_avoidedUntil[name] = m_options.loop.now() + AvoidTime;
}

bool RelayClient::isUnreachableToo(const std::string &name, const std::string &id)
{
    const TimePoint now = m_options.loop.now();
    for (auto &[replica, routers] : m_unreachable)
        std::erase_if(routers, [now](const auto &it) { return now - it.second > FindingLifetime; });
    std::erase_if(m_unreachable, [](const auto &it) { return it.second.empty(); });
    std::map<std::string, TimePoint> &routers = m_unreachable[id];
    routers[name] = now;
    return routers.size() > 1;
}

HttpCall RelayClient::relayed(HttpCall call, const RelayPeer &peer, RelayTicket ticket)
{
    call.address = peer.address;
    call.headers = RelayCodec::endToEnd(call.headers);
    ticket.sentAtMs = m_options.loop.wallNow().time_since_epoch() / 1ms;
    ticket.number = ++m_tickets;
    ticket.signature = m_options.sign(
            RelayCodec::signedText(ticket, call.method, call.target, call.headers, call.body));
    call.headers.emplace_back(RelayCodec::TicketHeader, RelayCodec::encode(ticket));
    return call;
}

/// Sends a question to several routers that may relay requests for \a service.
/// \param answered is called for each of them, with an empty answer if it doesn't answer.
/// \returns their number.
std::size_t RelayClient::ask(const std::string &service, const std::string &target,
                             const std::function<void(const HttpAnswer &answer)> &answered)
{
    std::vector<RelayPeer> asked = usable(service);
    for (std::size_t i = asked.size(); i > 1; --i)
        std::swap(asked[i - 1], asked[below(m_options.random, i)]);
    asked.resize(std::min(asked.size(), AskedRouters));
    for (const RelayPeer &it : asked) {
        m_options.client.fetch({.address = it.address,
                                .target = target,
                                .headers = {{SignatureHeader, m_options.sign(target)}},
                                .timeout = CheckTimeout},
                               [answered](const Result<HttpAnswer> &answer) {
                                   const bool isKnown =
                                           answer && answer.value().head.status == Success;
                                   answered(isKnown ? answer.value() : HttpAnswer());
                               });
    }
    return asked.size();
}

void RelayClient::checkPath(const std::string &service, const std::string &id,
                            std::function<void(PathState)> done)
{
    const auto check = std::make_shared<PathCheck>();
    check->done = std::move(done);
    check->pending = ask(service, fmt::format("{}?replica={}", CheckPath, id),
                         [this, check, id](const HttpAnswer &answer) {
                             noteBrokenFor(id, answer);
                             check->add(answer.body);
                         });
    if (check->pending == 0)
        m_options.loop.post([check] { check->finish(PathState::Unknown); });
}

void RelayClient::noteBrokenFor(const std::string &id, const HttpAnswer &answer) const
{
    const std::string_view text = answer.head.header(BrokenForHeader);
    std::uint32_t ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (ec == std::errc() && end == text.data() + text.size())
        m_options.brokenElsewhere(id, std::chrono::milliseconds(ms));
}

void RelayClient::checkReceived(const std::string &service, const std::string &id, Duration within,
                                std::function<void(bool received)> done)
{
    struct Check
    {
        std::function<void(bool)> done; ///< Null after it was called.
        std::size_t pending = 0;
    };
    const auto check = std::make_shared<Check>(Check{.done = std::move(done)});
    const auto finish = [check](bool received) {
        if (const auto callback = std::exchange(check->done, nullptr))
            callback(received);
    };
    check->pending =
            ask(service,
                fmt::format("{}?replica={}&{}={}", CheckPath, id, ReceivedWithin, within / 1ms),
                [check, finish](const HttpAnswer &answer) {
                    if (--check->pending == 0 || answer.body == ReceivedAnswer)
                        finish(answer.body == ReceivedAnswer);
                });
    if (check->pending == 0)
        m_options.loop.post([finish] { finish(false); });
}

} // namespace catkinloft
