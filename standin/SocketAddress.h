#pragma once

#include "Base/YamlSection.h"

#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace catkinloft::standin {

/// \returns the socket address of \a address, an IPv4 `ip:port`, or 127.0.0.1:0 if it is invalid.
inline sockaddr_in socketAddress(const std::string &address)
{
    const Endpoint endpoint = parseEndpoint(address).value_or(Endpoint{"127.0.0.1", 0});
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &out.sin_addr);
    return out;
}

} // namespace catkinloft::standin
