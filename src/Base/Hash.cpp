#include "Base/Hash.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace catkinloft {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hashCombine(std::uint64_t a, std::uint64_t b)
{
    // The finalizer of SplitMix64: every input bit affects every output bit. Rendezvous hashing
    // needs that for an even distribution.
    std::uint64_t x = a * 0x9E3779B97F4A7C15ULL + b;
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
    x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
    return x ^ (x >> 31);
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    // Uses a table, since this runs for every request and one fmt::format() call per byte took a
    // tenth of the time of a request.
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string out;
    out.reserve(2 * digest.size());
    for (const unsigned char it : digest) {
        out += Digits[it >> 4];
        out += Digits[it & 0xF];
    }
    return out;
}

std::string hmacSha256(std::string_view key, std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &n);
    return {reinterpret_cast<const char *>(digest.data()), n};
}

bool constantTimeEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string base64UrlEncode(std::string_view bytes)
{
    std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                  reinterpret_cast<const unsigned char *>(bytes.data()),
                                  static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(n));
    while (!out.empty() && out.back() == '=')
        out.pop_back();
    for (char &it : out)
        it = it == '+' ? '-' : it == '/' ? '_' : it;
    return out;
}

std::string base64UrlDecode(std::string_view text)
{
    std::string in(text);
    for (char &it : in) {
        if (it == '+' || it == '/' || it == '=')
            return {};
        it = it == '-' ? '+' : it == '_' ? '/' : it;
    }
    const std::size_t padding = (4 - in.size() % 4) % 4;
    if (padding == 3)
        return {};
    in.append(padding, '=');
    std::string out(in.size() / 4 * 3, '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                  reinterpret_cast<const unsigned char *>(in.data()),
                                  static_cast<int>(in.size()));
    if (n < 0)
        return {};
    out.resize(static_cast<std::size_t>(n) - padding);
    return out;
}

} // namespace catkinloft
