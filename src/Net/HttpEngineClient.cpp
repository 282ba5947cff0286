#include "Net/HttpEngineClient.h"

#include "Base/Json.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"

#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

constexpr Duration ReadTimeout = 2s;

/// An order to load weights is answered only after they are loaded.
constexpr Duration OrderTimeout = 120s;
constexpr Duration KvTimeout = 30s;
constexpr std::size_t MaxKvBytes = 64 * 1024 * 1024;

/// Larger than any batch of an engine or its stand-in; longer feeds are read in several calls.
constexpr std::size_t MaxReadBytes = 256 * 1024;

/// Bytes that one call sends in addition to its target and body: the request line with the Host
/// header, and the TCP and IP headers of the call and of the acknowledgement of its answer.
constexpr std::size_t RequestLine = 42;
constexpr std::size_t PacketHeaders = 2 * 52;

/// Used when the weight store refuses without a valid Retry-After header.
constexpr Duration DefaultRetryAfter = 5s;

HttpCall makeCall(std::string address, std::string target, Duration timeout)
{
    return {.address = std::move(address),
            .target = std::move(target),
            .timeout = timeout,
            .maxBodyBytes = MaxReadBytes};
}

HttpCall makePost(std::string address, std::string target, Duration timeout,
                  const Json::Value &body)
{
    HttpCall out = makeCall(std::move(address), std::move(target), timeout);
    out.method = "POST";
    out.headers = {{"Content-Type", "application/json"}};
    out.body = printJson(body);
    return out;
}

Error statusError(int status)
{
    return {.reason = Reason::UpstreamRefused,
            .verdict = Verdict::MayHaveRun,
            .detail = fmt::format("the engine answered {}", status)};
}

/// \returns a receiver that passes the JSON object of a 200 answer, converted by \a convert, to
/// \a done, or an error.
template<typename T, typename Convert>
std::function<void(Result<HttpAnswer>)> objectReceiver(EngineClient::Callback<T> done,
                                                       Convert convert)
{
    return [done = std::move(done), convert](const Result<HttpAnswer> &answer) {
        if (!answer) {
            done(answer.error());
            return;
        }
        if (answer.value().head.status != 200) {
            done(statusError(answer.value().head.status));
            return;
        }
        const Result<Json::Value> root = parseJsonObject(answer.value().body);
        if (!root) {
            done(root.error());
            return;
        }
        Result<T> value = readJson<T>(root.value(), Reason::UpstreamBroken, convert);
        if (!value)
            value.error().verdict = Verdict::MayHaveRun;
        done(std::move(value));
    };
}

EngineLoad loadOf(const Json::Value &it)
{
    return {.running = it["running"].asDouble(),
            .waiting = it["waiting"].asDouble(),
            .tokens = it["tokens"].asDouble(),
            .asOf = WallTime(std::chrono::milliseconds(it["as_of_ms"].asInt64()))};
}

CacheFeed feedOf(const Json::Value &root)
{
    CacheFeed out;
    out.next = root["next"].asUInt64();
    for (const Json::Value &it : root["events"]) {
        out.events.push_back({.seq = it["seq"].asUInt64(),
                              .chat = it["chat"].asString(),
                              .tokens = it["tokens"].asDouble(),
                              .stored = it["op"].asString() == "stored"});
    }
    return out;
}

EngineState stateOf(const Json::Value &it)
{
    EngineState out{.model = it["model"].asString(),
                    .version = it["version"].asString(),
                    .adapters = {},
                    .role = it["role"].asString(),
                    .fence = it["fence"].asUInt64()};
    for (const Json::Value &adapter : it["adapters"])
        out.adapters.push_back(adapter.asString());
    return out;
}

Json::Value toJson(const EngineOrder &order)
{
    Json::Value out;
    out["order"] = std::string(toString(order.kind));
    out["fence"] = static_cast<Json::UInt64>(order.fence);
    out["order_id"] = order.id;
    Json::Value args(Json::objectValue);
    const auto add = [&](const char *name, const std::string &value) {
        if (!value.empty())
            args[name] = value;
    };
    add("model", order.model);
    add("version", order.version);
    add("adapter", order.adapter);
    add("role", order.role);
    out["args"] = args;
    return out;
}

Duration retryAfterOf(const HttpHead &head)
{
    const std::string_view text = head.header("Retry-After");
    int seconds = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    const bool isNumber = ec == std::errc() && end == text.data() + text.size() && seconds >= 0;
    return isNumber ? Duration(std::chrono::seconds(std::min(seconds, 3600))) : DefaultRetryAfter;
}

Result<void> weightAnswer(const HttpHead &head)
{
    if (head.status == 200)
        return outcome::success();
    Error out{.reason = Reason::UpstreamRefused,
              .detail = fmt::format("the weight store answered {}", head.status)};
    if (head.status == 429 || head.status == 503)
        out.retryAfter = retryAfterOf(head);
    return out;
}

} // namespace

HttpEngineClient::HttpEngineClient(Options options) : m_options(std::move(options)) { }

void HttpEngineClient::fetch(HttpCall call, Receiver done)
{
    call.secure = m_options.secure;
    m_options.sent(PacketHeaders + RequestLine + call.target.size() + call.body.size());
    m_options.client.fetch(std::move(call), std::move(done));
}

void HttpEngineClient::readLoad(std::string address, Callback<EngineLoad> done)
{
    HttpCall call = makeCall(std::move(address), "/v1/load", ReadTimeout);
    fetch(std::move(call), objectReceiver<EngineLoad>(std::move(done), &loadOf));
}

void HttpEngineClient::readCacheEvents(std::string address, std::uint64_t after,
                                       Callback<CacheFeed> done)
{
    HttpCall call = makeCall(std::move(address), fmt::format("/v1/cache-events?after={}", after),
                             ReadTimeout);
    fetch(std::move(call), objectReceiver<CacheFeed>(std::move(done), &feedOf));
}

void HttpEngineClient::readState(std::string address, Callback<EngineState> done)
{
    HttpCall call = makeCall(std::move(address), "/v1/state", ReadTimeout);
    fetch(std::move(call), objectReceiver<EngineState>(std::move(done), &stateOf));
}

void HttpEngineClient::sendOrder(std::string address, EngineOrder order, Callback<OrderAnswer> done)
{
    HttpCall call = makePost(std::move(address), "/v1/orders", OrderTimeout, toJson(order));
    // On a dead connection the outcome of the order would be unknown for the whole timeout.
    call.freshConnection = true;
    fetch(std::move(call), [done = std::move(done)](const Result<HttpAnswer> &answer) {
        if (!answer) {
            done(answer.error());
            return;
        }
        const int status = answer.value().head.status;
        const Result<Json::Value> root = parseJsonObject(answer.value().body);
        if (status == 200 && root)
            done(OrderAnswer{.applied = true});
        else if (status == 409 && root && root.value()["fence"].isUInt64())
            done(OrderAnswer{.applied = false, .fence = root.value()["fence"].asUInt64()});
        else
            done(statusError(status));
    });
}

void HttpEngineClient::exportKv(std::string address, std::string chat, Callback<std::string> done)
{
    Json::Value body;
    body["chat"] = chat;
    HttpCall call = makePost(std::move(address), "/v1/kv/export", KvTimeout, body);
    call.maxBodyBytes = MaxKvBytes;
    call.secure = m_options.secure;
    m_options.client.fetch(std::move(call),
                           objectReceiver<std::string>(std::move(done), [](const Json::Value &it) {
                               return it["blob"].asString();
                           }));
}

void HttpEngineClient::importKv(std::string address, std::string chat, std::string blob,
                                Callback<void> done)
{
    Json::Value body;
    body["chat"] = chat;
    body["blob"] = blob;
    HttpCall call = makePost(std::move(address), "/v1/kv/import", KvTimeout, body);
    call.secure = m_options.secure;
    m_options.client.fetch(std::move(call),
                           [done = std::move(done)](const Result<HttpAnswer> &answer) {
                               if (!answer)
                                   done(answer.error());
                               else if (answer.value().head.status != 200)
                                   done(statusError(answer.value().head.status));
                               else
                                   done(outcome::success());
                           });
}

void HttpEngineClient::requestWeights(std::string model, std::string version, Callback<void> done)
{
    if (m_options.weightStore.empty()) {
        done(outcome::success());
        return;
    }
    struct WeightRequest
    {
        HttpCallPtr call;
        Callback<void> done;
    };
    auto state = std::make_shared<WeightRequest>();
    state->done = std::move(done);
    // Only the store's willingness to send the weights matters: the call is dropped after the head
    // of the answer. It is destroyed outside of its own callbacks.
    const auto finish = [&loop = m_options.loop, state](const Result<void> &result) {
        loop.post([state, result] {
            state->call.reset();
            if (const auto notify = std::exchange(state->done, nullptr))
                notify(result);
        });
    };
    state->call = m_options.client.send(
            makeCall(m_options.weightStore, fmt::format("/v1/weights/{}/{}", model, version),
                     ReadTimeout),
            {.onHead = [finish](const HttpHead &head) { finish(weightAnswer(head)); },
             .onEnd =
                     [finish](const Result<void> &result) {
                         if (!result)
                             finish(result.error());
                     }});
}

} // namespace catkinloft
