#include "Request/ResumeToken.h"

#include "Base/Hash.h"

#include <algorithm>
#include <array>

namespace catkinloft {

namespace {

constexpr char FieldSeparator = '\n';
constexpr char SignatureSeparator = '.';

/// Prefix of the signed text. It prevents the signature of another kind of token, made with the
/// same key, from being accepted here.
constexpr std::string_view Purpose = "resume\n";

std::string signature(const SharedKey &key, std::string_view payload)
{
    return base64UrlEncode(hmacSha256(key.secret, std::string(Purpose) + std::string(payload)));
}

Error invalidToken()
{
    return {.reason = Reason::MalformedRequest,
            .detail = "expected X-Catkinloft-Resume unchanged, as it was sent with the stream"};
}

} // namespace

std::string ResumeToken::encode(std::span<const SharedKey> keys) const
{
    if (keys.empty())
        return {};
    std::string fields;
    for (const std::string *it : {&workspace, &requestId, &upstreamId, &engine})
        fields += *it + FieldSeparator;
    const std::string payload = base64UrlEncode(fields);
    return payload + SignatureSeparator + signature(keys.front(), payload);
}

Result<ResumeToken> ResumeToken::decode(std::string_view text, std::span<const SharedKey> keys)
{
    const std::size_t separator = std::min(text.find(SignatureSeparator), text.size());
    const std::string_view payload = text.substr(0, separator);
    const std::string_view mac = text.substr(std::min(separator + 1, text.size()));
    const bool isSigned = std::any_of(keys.begin(), keys.end(), [&](const SharedKey &it) {
        return constantTimeEqual(signature(it, payload), mac);
    });
    const std::string fields = isSigned ? base64UrlDecode(payload) : "";
    ResumeToken out;
    std::size_t at = 0;
    for (std::string *it : {&out.workspace, &out.requestId, &out.upstreamId, &out.engine}) {
        const std::size_t end = fields.find(FieldSeparator, at);
        if (end == std::string::npos)
            return invalidToken();
        *it = fields.substr(at, end - at);
        at = end + 1;
    }
    return out;
}

} // namespace catkinloft
