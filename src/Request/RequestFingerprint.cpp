#include "Request/RequestFingerprint.h"

#include "Base/Hash.h"

#include <fmt/format.h>

namespace catkinloft {

namespace {

/// 96 bits: too many to search for a second request with the same fingerprint, and still short in
/// messages between routers.
constexpr std::size_t Digits = 24;

} // namespace

std::string requestFingerprint(const RequestContent &content)
{
    std::string text;
    text.reserve(content.body.size() + content.target.size() + 256);
    // The lengths make the concatenation unambiguous.
    for (const std::string_view it :
         {content.workspace, content.host, content.method, content.target, content.body})
        fmt::format_to(std::back_inserter(text), "{}:{}", it.size(), it);
    return sha256Hex(text).substr(0, Digits);
}

} // namespace catkinloft
