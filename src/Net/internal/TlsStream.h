#pragma once

#include <string>

struct bufferevent;
struct event_base;

namespace catkinloft {
class TlsContext;
}

namespace catkinloft::internal {

/// \returns the stream of one accepted connection of a TLS listener.
bufferevent *newServerStream(event_base *base, const TlsContext &tls);

/// \returns a stream to an upstream at \a ip; nullptr where \a tls has no certificates to check it
/// against.
bufferevent *newClientStream(event_base *base, const TlsContext &tls, const std::string &ip);

/// \returns why the handshake of \a stream failed; empty where it didn't or there is no TLS.
std::string tlsHandshakeError(bufferevent *stream);

} // namespace catkinloft::internal
