#include "Net/HopByHopHeaders.h"

#include <algorithm>
#include <array>
#include <strings.h>

namespace catkinloft {

namespace {

constexpr std::array<std::string_view, 9> WellKnown = {
        "Connection", "Keep-Alive",       "Transfer-Encoding", "Content-Length", "Upgrade",
        "TE",         "Proxy-Connection", "Trailer",           "Expect",
};

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

} // namespace

bool sameHeader(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

HopByHopHeaders::HopByHopHeaders(const HttpHeaders &headers)
{
    for (const HttpHeader &it : headers) {
        if (!sameHeader(it.first, "Connection"))
            continue;
        std::string_view rest = it.second;
        while (!rest.empty()) {
            const std::size_t end = rest.find(',');
            m_named.push_back(trimmed(rest.substr(0, end)));
            rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
        }
    }
}

bool HopByHopHeaders::contains(std::string_view name) const
{
    const auto same = [name](std::string_view it) { return sameHeader(name, it); };
    return std::any_of(WellKnown.begin(), WellKnown.end(), same)
            || std::any_of(m_named.begin(), m_named.end(), same);
}

} // namespace catkinloft
