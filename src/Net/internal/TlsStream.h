#pragma once

#include <string>
#include <string_view>

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

/// \returns whether \a stream was made by one of the functions above.
bool usesTls(bufferevent *stream);

/// \brief Writes \a text to \a stream past its output buffer, if the handshake is complete and the
/// socket accepts it at once. Nothing may be written to \a stream after an incomplete write.
void writeTls(bufferevent *stream, std::string_view text);

/// \returns why the handshake of \a stream failed; empty if it succeeded or \a stream has no TLS.
std::string tlsHandshakeError(bufferevent *stream);

} // namespace catkinloft::internal
