#pragma once

#include <string>

struct bufferevent;
struct event_base;

namespace catkinloft {
class TlsContext;
}

namespace catkinloft::internal {

/// \returns a stream for a connection that a TLS listener has accepted.
bufferevent *newServerStream(event_base *base, const TlsContext &tls);

/// \returns a stream to an upstream at \a ip; nullptr if \a tls has no CA certificates to verify
/// it.
bufferevent *newClientStream(event_base *base, const TlsContext &tls, const std::string &ip);

/// \returns why the handshake of \a stream failed; empty if it succeeded or \a stream has no TLS.
std::string tlsHandshakeError(bufferevent *stream);

} // namespace catkinloft::internal
