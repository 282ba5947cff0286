#include "Request/IdentifyFilter.h"

#include "Base/Hash.h"
#include "Request/ChatRequest.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace catkinloft {

namespace {

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view StreamPrefix = "/v1/streams/";
constexpr std::string_view ServicePrefix = "/services/";
constexpr std::size_t MaxIdLength = 128;
constexpr std::int64_t MaxDeadlineMs = 3'600'000;

Error malformed(std::string detail)
{
    return {.reason = Reason::MalformedRequest, .detail = std::move(detail)};
}

/// Ids are used in paths, logs and table keys, so only characters that need no escaping there are
/// allowed.
bool isSafeId(std::string_view id)
{
    return id.size() <= MaxIdLength && std::all_of(id.begin(), id.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                       || c == '-' || c == '_' || c == '.' || c == ':';
           });
}

Result<std::string> readId(const RequestContext &request, const char *name)
{
    const std::string_view id = request.header(name);
    if (!isSafeId(id))
        return malformed(fmt::format("expected '{}' as at most {} letters, digits or '-_.:'", name,
                                     MaxIdLength));
    return std::string(id);
}

Result<void> readDeadline(RequestContext &request)
{
    const std::string_view text = request.header(headers::Deadline);
    request.deadline = request.receivedAt + request.inventory->rules.requestTimeout;
    if (text.empty())
        return outcome::success();
    std::int64_t millis = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), millis);
    if (ec != std::errc() || end != text.data() + text.size() || millis < 1
        || millis > MaxDeadlineMs)
        return malformed(fmt::format("expected '{}' as milliseconds from 1 to {}",
                                     headers::Deadline, MaxDeadlineMs));
    request.deadline =
            std::min(request.deadline, request.receivedAt + std::chrono::milliseconds(millis));
    return outcome::success();
}

Result<void> readChat(RequestContext &request)
{
    if (request.method != "POST")
        return Error{.reason = Reason::MethodNotAllowed, .detail = "expected POST"};
    Result<ChatRequest> chat = ChatRequest::parse(request.body);
    if (!chat)
        return chat.error();
    if (request.inventory->enginesOf(chat.value().model).empty())
        return Error{.reason = Reason::UnknownModel,
                     .detail = fmt::format("no engine serves '{}'", chat.value().model)};
    if (const std::string_view id = request.header(headers::ChatId); !id.empty())
        chat.value().chatId = id;
    request.kind = RequestKind::Chat;
    request.model = chat.value().model;
    request.streamed = chat.value().stream;
    request.chatKey = chat.value().chatKey(request.workspace->name);
    request.chat = chat.value().chatId.empty() ? chat.value().opening : chat.value().chatId;
    request.work = chat.value().promptTokens + chat.value().outputTokens;
    request.idempotent = true;
    return outcome::success();
}

Result<void> readCall(RequestContext &request)
{
    const std::string_view rest = std::string_view(request.path).substr(ServicePrefix.size());
    request.kind = RequestKind::Call;
    request.service = rest.substr(0, rest.find('/'));
    const Service *service = request.inventory->service(request.service);
    if (!service)
        return Error{.reason = Reason::UnknownService,
                     .detail = "the inventory has no service of this name"};
    const auto &methods = service->idempotentMethods;
    request.idempotent = std::find(methods.begin(), methods.end(), request.method) != methods.end();
    request.deadline = std::min(request.deadline, request.receivedAt + service->timeout);
    return outcome::success();
}

Result<void> readResume(RequestContext &request)
{
    if (request.method != "GET")
        return Error{.reason = Reason::MethodNotAllowed, .detail = "expected GET"};
    request.kind = RequestKind::Resume;
    request.id = request.path.substr(StreamPrefix.size());
    request.streamed = true;
    const std::string_view text = request.header(headers::LastEventId);
    if (text.empty())
        return outcome::success();
    const auto [end, ec] =
            std::from_chars(text.data(), text.data() + text.size(), request.lastEventId);
    if (ec != std::errc() || end != text.data() + text.size() || request.lastEventId < -1)
        return malformed("expected 'Last-Event-ID' as an integer of at least -1");
    return outcome::success();
}

} // namespace

IdentifyFilter::IdentifyFilter(RandomSource random) : m_random(std::move(random)) { }

Result<void> IdentifyFilter::identify(RequestContext &request) const
{
    Result<std::string> id = readId(request, headers::RequestId);
    if (!id)
        return id.error();
    request.id =
            id.value().empty() ? fmt::format("{:016x}{:016x}", m_random(), m_random()) : id.value();
    Result<std::string> key = readId(request, headers::IdempotencyKey);
    if (!key)
        return key.error();
    request.idempotencyKey = key.value();
    if (Result<void> result = readDeadline(request); !result)
        return result;
    request.hops = request.header(headers::Hops).empty() ? 0 : 1;
    if (request.path == ChatPath)
        return readChat(request);
    if (request.path.starts_with(StreamPrefix))
        return readResume(request);
    if (request.path.starts_with(ServicePrefix))
        return readCall(request);
    return Error{.reason = Reason::NotFound, .detail = "no resource has this path"};
}

void IdentifyFilter::operator()(const RequestPtr &request, const FilterChain::Next &next) const
{
    next(identify(*request));
}

} // namespace catkinloft
