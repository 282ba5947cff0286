#include "Net/internal/TlsStream.h"

#include "Net/TlsContext.h"

#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <openssl/err.h>
#include <openssl/ssl.h>

namespace catkinloft::internal {

namespace {

bufferevent *newStream(event_base *base, SSL *session, bufferevent_ssl_state state)
{
    if (!session)
        return nullptr;
    bufferevent *out =
            bufferevent_openssl_socket_new(base, -1, session, state, BEV_OPT_CLOSE_ON_FREE);
    // Many peers close without a close_notify alert. HttpConnection detects a truncated answer by
    // its length or missing last chunk.
    if (out)
        bufferevent_openssl_set_allow_dirty_shutdown(out, 1);
    else
        SSL_free(session);
    return out;
}

} // namespace

bufferevent *newServerStream(event_base *base, const TlsContext &tls)
{
    return newStream(base, tls.newServerSession(), BUFFEREVENT_SSL_ACCEPTING);
}

bufferevent *newClientStream(event_base *base, const TlsContext &tls, const std::string &ip)
{
    return newStream(base, tls.newClientSession(ip), BUFFEREVENT_SSL_CONNECTING);
}

bool usesTls(bufferevent *stream)
{
    return bufferevent_openssl_get_ssl(stream) != nullptr;
}

void writeTls(bufferevent *stream, std::string_view text)
{
    SSL *session = bufferevent_openssl_get_ssl(stream);
    if (!session || !SSL_is_init_finished(session))
        return;
    if (SSL_write(session, text.data(), static_cast<int>(text.size())) <= 0)
        ERR_clear_error(); // Belongs to no call of the stream.
}

std::string tlsHandshakeError(bufferevent *stream)
{
    const SSL *session = bufferevent_openssl_get_ssl(stream);
    if (!session)
        return {};
    if (const long result = SSL_get_verify_result(session); result != X509_V_OK)
        return std::string("certificate refused: ") + X509_verify_cert_error_string(result);
    const unsigned long code = bufferevent_get_openssl_error(stream);
    const char *text = code != 0 ? ERR_reason_error_string(code) : nullptr;
    return text ? std::string("handshake failed: ") + text : std::string();
}

} // namespace catkinloft::internal
