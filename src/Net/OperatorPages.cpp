#include "Net/OperatorPages.h"

#include "Base/Hash.h"
#include "Base/Log.h"
#include "Control/ConfigKeeper.h"
#include "Control/RouterDirectory.h"
#include "Request/AuthenticateFilter.h"
#include "Request/IdentifyFilter.h"

#include <charconv>

#include <fmt/format.h>

namespace catkinloft {

namespace {

const HttpHeaders JsonType = {{"Content-Type", "application/json"}};

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
    const std::string workspace = exchange->queryValue("workspace");
    const std::uint64_t key = chat.empty() && workspace.empty()
            ? m_options.random()
            : hashCombine(hash64(workspace), hash64(chat));
    const RouterView &router = m_options.directory.routerFor(key);
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
    std::string list;
    for (const RouterView &it : m_options.directory.routers()) {
        list += fmt::format(R"({}{{"name":{},"address":{},"failure_domain":{},"leaving":{}}})",
                            list.empty() ? "" : ",", jsonQuoted(it.name),
                            jsonQuoted(it.callerAddress), jsonQuoted(it.failureDomain), it.leaving);
    }
    exchange->respond(200, JsonType,
                      fmt::format(R"({{"router":{},"revision":{},"in_progress":{},"routers":[{}]}})"
                                  "\n",
                                  jsonQuoted(m_options.settings.name), revision(),
                                  m_options.inProgress(), list));
}

std::optional<std::string> OperatorPages::operatorOf(const HttpExchangePtr &exchange)
{
    const InventoryPtr inventory = m_options.config.current();
    const std::string_view key = AuthenticateFilter::bearerKey(exchange->header("Authorization"));
    if (key.empty())
        return std::nullopt;
    const std::string hash = sha256Hex(key);
    if (!inventory) {
        // Without a configuration there are no operators; the settings name who sets the first.
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
    std::string_view base = exchange->header("If-Match");
    if (base.size() > 1 && base.front() == '"')
        base = base.substr(1, base.size() - 2);
    std::uint64_t revision = 0;
    const auto [end, ec] = std::from_chars(base.data(), base.data() + base.size(), revision);
    if (ec != std::errc() || end != base.data() + base.size()) {
        m_options.fail(exchange,
                       {.reason = Reason::MalformedRequest,
                        .detail = "expected If-Match with the revision that was changed"});
        return;
    }
    m_options.config.propose({.text = std::string(exchange->body()),
                              .base = revision,
                              .changeId = std::string(exchange->header(headers::IdempotencyKey)),
                              .author = *author},
                             [this, exchange](Result<std::uint64_t> result) {
                                 if (!result) {
                                     m_options.fail(exchange, result.error());
                                     return;
                                 }
                                 exchange->respond(
                                         200, JsonType,
                                         fmt::format("{{\"revision\":{}}}\n", result.value()));
                             });
}

} // namespace catkinloft
