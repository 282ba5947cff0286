#include "Net/OperatorPages.h"

#include "Base/Hash.h"
#include "Base/Log.h"
#include "Control/ConfigManager.h"
#include "Control/ConfigPropagator.h"
#include "Control/Membership.h"
#include "Control/RouterDirectory.h"
#include "Request/AuthenticateFilter.h"
#include "Request/ChatRequest.h"
#include "Request/IdentifyFilter.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace catkinloft {

namespace {

const HttpHeaders JsonType = {{"Content-Type", "application/json"}};

/// Number of other routers that must hold a revision before it is reported as accepted. Together
/// with the router that received the change, the revision then survives a failure of two VMs during
/// an outage of the store.
constexpr std::size_t RequiredHolders = 2;

/// How long the answer is delayed for that. Afterwards it reports the change as committed only.
constexpr Duration PropagationTimeout = std::chrono::seconds(2);

constexpr std::size_t HistoryPage = 100;

std::optional<std::uint64_t> parseRevision(std::string_view text)
{
    std::uint64_t out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    return ec == std::errc() && end == text.data() + text.size() ? std::optional(out)
                                                                 : std::nullopt;
}

std::optional<std::uint64_t> baseOf(const HttpExchangePtr &exchange)
{
    std::string_view text = exchange->header("If-Match");
    if (text.size() > 1 && text.front() == '"')
        text = text.substr(1, text.size() - 2);
    return parseRevision(text);
}

/// The key in an Authorization header: `Bearer KEY`, or the password of `Basic`.
std::string keyOf(std::string_view authorization)
{
    constexpr std::string_view Basic = "Basic ";
    if (!authorization.starts_with(Basic))
        return std::string(AuthenticateFilter::bearerKey(authorization));
    std::string encoded(authorization.substr(Basic.size()));
    while (!encoded.empty() && encoded.back() == '=')
        encoded.pop_back();
    std::replace(encoded.begin(), encoded.end(), '+', '-');
    std::replace(encoded.begin(), encoded.end(), '/', '_');
    const std::string pair = base64UrlDecode(encoded);
    const std::size_t colon = pair.find(':');
    return colon == std::string::npos ? std::string() : pair.substr(colon + 1);
}

} // namespace

OperatorPages::OperatorPages(Options options) : m_options(std::move(options)) { }

std::uint64_t OperatorPages::revision() const
{
    return m_options.config.current() ? m_options.config.current()->revision : 0;
}

void OperatorPages::where(const HttpExchangePtr &exchange)
{
    const InventoryPtr inventory = m_options.config.current();
    if (!inventory) {
        m_options.fail(exchange, {.reason = Reason::NotReady, .detail = "no configuration yet"});
        return;
    }
    const std::string chat = exchange->queryValue("chat");
    RouterDirectory::Query query{.model = exchange->queryValue("model"),
                                 .failureDomain = exchange->queryValue("failure_domain")};
    // The model may be omitted in a fleet with only one model.
    if (query.model.empty() && !inventory->engines.empty())
        query.model = inventory->engines.front().model;
    if (!chat.empty()) {
        ChatRequest asked;
        asked.model = query.model;
        asked.chatId = chat;
        query.chatKey = asked.chatKey(exchange->queryValue("workspace"));
    }
    const RouterView &router = m_options.directory.routerFor(query, m_options.random);
    exchange->respond(200, JsonType,
                      fmt::format("{{\"address\":\"{}\",\"router\":{},\"lifetime_ms\":{}}}\n",
                                  router.callerAddress, jsonQuoted(router.name),
                                  inventory->rules.addressLifetime.count() / 1'000'000));
}

void OperatorPages::status(const HttpExchangePtr &exchange)
{
    if (!operatorOf(exchange)) {
        m_options.fail(exchange,
                       {.reason = Reason::OperatorOnly, .detail = "an operator's key is needed"});
        return;
    }
    exchange->respond(200, JsonType, printStatusJson(report()));
}

void OperatorPages::statusPage(const HttpExchangePtr &exchange)
{
    if (operatorOf(exchange)) {
        exchange->respond(200, {{"Content-Type", "text/html; charset=utf-8"}},
                          printStatusPage(report()));
        return;
    }
    // Makes a browser ask its user for a name, which is ignored, and the operator's key as
    // password.
    exchange->respond(401,
                      {{"Content-Type", "text/plain"},
                       {"WWW-Authenticate", "Basic realm=\"catkinloft operators\""}},
                      "an operator's key is needed, as the password\n");
}

StatusReport OperatorPages::report() const
{
    StatusReport out{.router = m_options.settings.name, .revision = revision()};
    for (const RouterView &it : m_options.directory.routers()) {
        const bool isSelf = it.name == m_options.settings.name;
        out.routers.push_back(
                {.view = it,
                 .revision = isSelf ? revision() : m_options.propagator.revisionOf(it.name)});
    }
    if (const TimePoint at = m_options.config.lastConfirmed(); at != TimePoint::min())
        out.storeAge = m_options.clock.now() - at;
    m_options.describe(out);
    return out;
}

std::optional<std::string> OperatorPages::operatorOf(const HttpExchangePtr &exchange)
{
    const InventoryPtr inventory = m_options.config.current();
    const std::string key = keyOf(exchange->header("Authorization"));
    if (key.empty())
        return std::nullopt;
    const std::string hash = sha256Hex(key);
    if (!inventory) {
        // Without a configuration there are no operators; the bootstrap key of the settings
        // authorizes the first change.
        const bool known = constantTimeEqual(hash, m_options.settings.bootstrapKeySha256);
        return known ? std::optional<std::string>("bootstrap") : std::nullopt;
    }
    const Operator *found = inventory->operatorByKey(hash);
    return found ? std::optional(found->name) : std::nullopt;
}

void OperatorPages::readConfig(const HttpExchangePtr &exchange)
{
    if (!operatorOf(exchange)) {
        m_options.fail(exchange,
                       {.reason = Reason::OperatorOnly, .detail = "an operator's key is needed"});
        return;
    }
    exchange->respond(
            200,
            {{"Content-Type", "application/yaml"}, {"ETag", fmt::format("\"{}\"", revision())}},
            m_options.config.text());
}

void OperatorPages::writeConfig(const HttpExchangePtr &exchange)
{
    const auto author = operatorOf(exchange);
    if (!author) {
        m_options.fail(exchange,
                       {.reason = Reason::OperatorOnly, .detail = "an operator's key is needed"});
        return;
    }
    const auto base = baseOf(exchange);
    if (!base) {
        m_options.fail(exchange,
                       {.reason = Reason::MalformedRequest,
                        .detail = "expected If-Match with the revision that was changed"});
        return;
    }
    ConfigChange change{.text = std::string(exchange->body()),
                        .base = *base,
                        .changeId = std::string(exchange->header(headers::IdempotencyKey)),
                        .author = *author};
    const auto done = [this, exchange](const Result<std::uint64_t> &result) {
        proposed(exchange, result);
    };
    const std::string target = exchange->queryValue("rollback");
    const auto revision = target.empty() ? std::nullopt : parseRevision(target);
    if (!target.empty() && !revision)
        m_options.fail(exchange,
                       {.reason = Reason::MalformedRequest,
                        .detail = "expected rollback as the number of a revision"});
    else if (revision)
        m_options.config.rollBack(*revision, std::move(change), done);
    else
        m_options.config.propose(std::move(change), done);
}

void OperatorPages::proposed(const HttpExchangePtr &exchange, const Result<std::uint64_t> &result)
{
    if (!result) {
        m_options.fail(exchange, result.error());
        return;
    }
    const std::uint64_t revision = result.value();
    const std::size_t wanted = std::min(RequiredHolders, m_options.membership.liveCount());
    m_options.propagator.awaitHolders(
            revision, wanted, m_options.clock.now() + PropagationTimeout,
            [exchange, revision, wanted](std::size_t holders) {
                exchange->respond(
                        200, JsonType,
                        fmt::format(R"({{"revision":{},"state":"{}","holders":{}}})"
                                    "\n",
                                    revision,
                                    holders >= wanted ? "accepted" : "committed, spreading",
                                    holders + 1));
            });
}

void OperatorPages::history(const HttpExchangePtr &exchange)
{
    if (!operatorOf(exchange)) {
        m_options.fail(exchange,
                       {.reason = Reason::OperatorOnly, .detail = "an operator's key is needed"});
        return;
    }
    m_options.config.history(
            HistoryPage, [this, exchange](const Result<std::vector<ConfigRecord>> &list) {
                if (!list) {
                    m_options.fail(exchange, list.error());
                    return;
                }
                std::string out;
                for (const ConfigRecord &it : list.value()) {
                    out += fmt::format(
                            R"({}{{"revision":{},"author":{},"change_id":{},"accepted_at_ms":{}}})",
                            out.empty() ? "" : ",", it.digest.revision, jsonQuoted(it.author),
                            jsonQuoted(it.changeId), it.acceptedAt);
                }
                exchange->respond(200, JsonType, fmt::format("{{\"changes\":[{}]}}\n", out));
            });
}

} // namespace catkinloft
