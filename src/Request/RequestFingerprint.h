#pragma once

#include <string>
#include <string_view>

namespace catkinloft {

/// \brief The parts of a request that its fingerprint covers. Ids and other headers don't count.
struct RequestContent
{
    std::string_view workspace = {}; ///< The caller's; may be empty if the route needs no key.
    std::string_view host = {};
    std::string_view method = {};
    std::string_view target = {}; ///< Path and query.
    std::string_view body = {};
};

/// \returns the fingerprint of \a content: 24 hexadecimal digits of a SHA-256 hash, so that nobody
/// can construct a request with the fingerprint of another one.
std::string requestFingerprint(const RequestContent &content);

} // namespace catkinloft
