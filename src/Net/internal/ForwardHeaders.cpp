#include "Net/internal/ForwardHeaders.h"

#include "Request/IdentifyFilter.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <strings.h>

namespace catkinloft::internal {

namespace {

constexpr const char *OwnPrefix = "X-Catkinloft-";

/// Headers that belong to one connection and are never passed on.
constexpr std::array ConnectionHeaders = {
        "Connection",       "Keep-Alive", "Transfer-Encoding", "Content-Length", "Host", "Upgrade",
        "Proxy-Connection", "TE",         "Trailer",           "Expect"};

bool equal(const std::string &a, const char *b)
{
    return strcasecmp(a.c_str(), b) == 0;
}

bool isConnectionHeader(const std::string &name)
{
    return std::any_of(ConnectionHeaders.begin(), ConnectionHeaders.end(),
                       [&](const char *it) { return equal(name, it); });
}

} // namespace

HttpHeaders requestHeaders(const HttpExchange &exchange)
{
    HttpHeaders out;
    HttpHeaders all = exchange.headers();
    for (HttpHeader &it : all) {
        if (!isConnectionHeader(it.first) && !equal(it.first, headers::RequestId)
            && !equal(it.first, headers::Authorization) && !equal(it.first, headers::Deadline)
            && !equal(it.first, headers::Hops))
            out.push_back(std::move(it));
    }
    return out;
}

HttpHeaders answerHeaders(const HttpHead &head)
{
    HttpHeaders out;
    for (const HttpHeader &it : head.headers) {
        if (!isConnectionHeader(it.first) && !equal(it.first, headers::RequestId)
            && strncasecmp(it.first.c_str(), OwnPrefix, strlen(OwnPrefix)) != 0)
            out.push_back(it);
    }
    return out;
}

} // namespace catkinloft::internal
