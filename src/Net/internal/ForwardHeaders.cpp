#include "Net/internal/ForwardHeaders.h"

#include "Net/HopByHopHeaders.h"
#include "Request/IdentifyFilter.h"

#include <cstring>
#include <strings.h>

namespace catkinloft::internal {

namespace {

constexpr const char *OwnPrefix = "X-Catkinloft-";

} // namespace

HttpHeaders requestHeaders(const HttpExchange &exchange)
{
    HttpHeaders out;
    const HttpHeaders all = exchange.headers();
    const HopByHopHeaders hopByHop(all);
    for (const HttpHeader &it : all) {
        if (!hopByHop.contains(it.first) && !sameHeader(it.first, "Host")
            && !sameHeader(it.first, headers::RequestId)
            && !sameHeader(it.first, headers::Authorization)
            && !sameHeader(it.first, headers::Deadline) && !sameHeader(it.first, headers::Hops))
            out.push_back(it);
    }
    return out;
}

HttpHeaders answerHeaders(const HttpHead &head)
{
    HttpHeaders out;
    const HopByHopHeaders hopByHop(head.headers);
    for (const HttpHeader &it : head.headers) {
        if (!hopByHop.contains(it.first) && !sameHeader(it.first, headers::RequestId)
            && strncasecmp(it.first.c_str(), OwnPrefix, strlen(OwnPrefix)) != 0)
            out.push_back(it);
    }
    return out;
}

} // namespace catkinloft::internal
