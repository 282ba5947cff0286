#include "Request/RequestFraming.h"

#include <algorithm>
#include <cctype>
#include <strings.h>

#include <fmt/format.h>

namespace catkinloft {

namespace {

bool isNamed(const std::string &header, const char *name)
{
    return strcasecmp(header.c_str(), name) == 0;
}

bool isDecimal(std::string_view text)
{
    return !text.empty() && text.size() <= 18
            && std::all_of(text.begin(), text.end(),
                           [](unsigned char c) { return std::isdigit(c) != 0; });
}

/// \returns whether some receivers read no body for \a method (RFC 9110, 9.3), as evhttp does for
/// HEAD. They parse the bytes after the headers as the next request.
bool hasUnreadBody(std::string_view method)
{
    return method != "POST" && method != "PUT" && method != "PATCH";
}

/// \returns whether \a name is a token by RFC 9110, 5.6.2.
bool isToken(std::string_view name)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](unsigned char c) {
        return (c < 0x80 && std::isalnum(c) != 0)
                || Others.find(static_cast<char>(c)) != Others.npos;
    });
}

bool hasControlCharacter(std::string_view value)
{
    return std::any_of(value.begin(), value.end(),
                       [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

bool isPath(std::string_view target)
{
    return target.starts_with('/')
            && std::none_of(target.begin(), target.end(),
                            [](unsigned char c) { return c <= 0x20 || c == 0x7f; });
}

} // namespace

std::string_view framingFaultName(FramingFault fault)
{
    switch (fault) {
    case FramingFault::None:
        return "none";
    case FramingFault::LengthAndChunked:
        return "length_and_chunked";
    case FramingFault::RepeatedLength:
        return "repeated_length";
    case FramingFault::BadLength:
        return "bad_length";
    case FramingFault::UnknownCoding:
        return "unknown_coding";
    case FramingFault::UnreadBody:
        return "unread_body";
    case FramingFault::BadTarget:
        return "bad_target";
    case FramingFault::BadName:
        return "bad_name";
    case FramingFault::BadValue:
        return "bad_value";
    case FramingFault::RepeatedField:
        return "repeated_field";
    }
    return "none";
}

FramingFault framingFault(std::string_view method, std::string_view target,
                          std::span<const std::pair<std::string, std::string>> headers)
{
    if (!isPath(target))
        return FramingFault::BadTarget;
    int lengths = 0;
    int codings = 0;
    int hosts = 0;
    int authorizations = 0;
    std::string_view length;
    for (const auto &[name, value] : headers) {
        // A receiver that trims names takes "Transfer-Encoding " for framing.
        if (!isToken(name))
            return FramingFault::BadName;
        if (hasControlCharacter(value))
            return FramingFault::BadValue;
        if (isNamed(name, "Content-Length")) {
            ++lengths;
            length = value;
        } else if (isNamed(name, "Transfer-Encoding")) {
            ++codings;
            if (strcasecmp(value.c_str(), "chunked") != 0)
                return FramingFault::UnknownCoding;
        } else if (isNamed(name, "Host")) {
            ++hosts;
        } else if (isNamed(name, "Authorization")) {
            ++authorizations;
        }
    }
    if (hosts > 1 || authorizations > 1)
        return FramingFault::RepeatedField;
    if (lengths > 0 && codings > 0)
        return FramingFault::LengthAndChunked;
    if (lengths > 1)
        return FramingFault::RepeatedLength;
    if (codings > 1)
        return FramingFault::UnknownCoding;
    if (lengths == 1 && !isDecimal(length))
        return FramingFault::BadLength;
    const bool hasBody =
            codings > 0 || (lengths == 1 && length.find_first_not_of('0') != length.npos);
    if (hasBody && hasUnreadBody(method))
        return FramingFault::UnreadBody;
    return FramingFault::None;
}

Result<void> checkFraming(std::string_view method, std::string_view target,
                          std::span<const std::pair<std::string, std::string>> headers)
{
    const FramingFault fault = framingFault(method, target, headers);
    if (fault == FramingFault::None)
        return outcome::success();
    return Error{.reason = Reason::MalformedRequest,
                 .detail = fmt::format("ambiguous framing: {}", framingFaultName(fault))};
}

} // namespace catkinloft
