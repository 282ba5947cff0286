#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace catkinloft {

/// \returns a 64-bit hash of \a text that is the same on every machine and in every release. It is
/// not cryptographic: for secrets use sha256Hex() or hmacSha256().
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// \returns a hash of the pair (\a a, \a b); the order matters.
std::uint64_t hashCombine(std::uint64_t a, std::uint64_t b);

/// \returns the SHA-256 of \a text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// \returns the 32 raw bytes of HMAC-SHA-256 over \a text.
std::string hmacSha256(std::string_view key, std::string_view text);

/// \returns whether \a a equals \a b, in time that depends only on their lengths.
bool constantTimeEqual(std::string_view a, std::string_view b);

/// \returns \a bytes in the URL-safe Base64 alphabet without padding.
std::string base64UrlEncode(std::string_view bytes);

/// \returns the bytes that \a text encodes, or an empty string if it is not URL-safe Base64.
std::string base64UrlDecode(std::string_view text);

} // namespace catkinloft
