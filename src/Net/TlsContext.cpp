#include "Net/TlsContext.h"

#include "Net/internal/Dispatch.h"
#include "Net/internal/TlsFiles.h"

#include <openssl/err.h>
#include <openssl/ssl.h>

namespace catkinloft {

using internal::TlsFiles;

namespace {

struct FreeContext
{
    void operator()(SSL_CTX *it) const { SSL_CTX_free(it); }
};
using ContextPtr = std::unique_ptr<SSL_CTX, FreeContext>;

ContextPtr makeContext(const SSL_METHOD *method)
{
    ContextPtr out(SSL_CTX_new(method));
    SSL_CTX_set_min_proto_version(out.get(), TLS1_2_VERSION);
    // Frees the buffers of idle connections, 34 KB each. Most of up to 10,000 connections are idle.
    SSL_CTX_set_mode(out.get(), SSL_MODE_RELEASE_BUFFERS);
    // A renegotiation costs this side more than the side that requests it.
    SSL_CTX_set_options(out.get(), SSL_OP_NO_RENEGOTIATION);
    return out;
}

ContextPtr makeServerContext(const TlsSettings &settings)
{
    ContextPtr out = makeContext(TLS_server_method());
    // Callers reconnect to any router, and each router has its own ticket keys. A ticket would also
    // stay valid after the key is replaced.
    SSL_CTX_set_options(out.get(), SSL_OP_NO_TICKET);
    SSL_CTX_set_session_cache_mode(out.get(), SSL_SESS_CACHE_OFF);
    if (SSL_CTX_use_certificate_chain_file(out.get(), settings.certificateFile.c_str()) != 1
        || SSL_CTX_use_PrivateKey_file(out.get(), settings.keyFile.c_str(), SSL_FILETYPE_PEM) != 1)
        return nullptr;
    return out;
}

ContextPtr makeClientContext(const TlsSettings &settings)
{
    ContextPtr out = makeContext(TLS_client_method());
    SSL_CTX_set_verify(out.get(), SSL_VERIFY_PEER, nullptr);
    if (SSL_CTX_load_verify_file(out.get(), settings.caFile.c_str()) != 1)
        return nullptr;
    return out;
}

void reportAlert(const SSL *session, int where, int value)
{
    const auto *hook = static_cast<const TlsContext::AlertHook *>(
            SSL_CTX_get_app_data(SSL_get_SSL_CTX(session)));
    const bool isFatal = value >> 8 == SSL3_AL_FATAL;
    if ((where & SSL_CB_ALERT) && isFatal && hook && *hook)
        internal::dispatch("tls_alert", [&] {
            (*hook)((where & SSL_CB_WRITE) != 0, SSL_alert_desc_string_long(value));
        });
}

} // namespace

struct TlsContext::Contexts
{
    ContextPtr server;
    ContextPtr client;
};

std::vector<std::string> tlsProblems(const TlsSettings &settings, WallTime now)
{
    return TlsFiles(settings).problems(now);
}

TlsContext::TlsContext(TlsSettings settings, AlertHook alert)
    : m_settings(std::move(settings)), m_alert(std::move(alert)),
      m_contexts(std::make_unique<Contexts>())
{ }

TlsContext::~TlsContext() = default;

Result<void> TlsContext::load(WallTime now)
{
    const TlsFiles files(m_settings);
    const std::string stamp = files.stamp();
    if (const auto problems = files.problems(now); !problems.empty())
        return Error{.reason = Reason::ConfigInvalid, .detail = problems.front()};
    Contexts next;
    if (hasCertificate())
        next.server = makeServerContext(m_settings);
    if (verifiesUpstreams())
        next.client = makeClientContext(m_settings);
    ERR_clear_error();
    if ((hasCertificate() && !next.server) || (verifiesUpstreams() && !next.client))
        return Error{.reason = Reason::ConfigInvalid,
                     .detail = "a TLS file changed while it was being read"};
    for (SSL_CTX *it : {next.server.get(), next.client.get()}) {
        if (it) {
            SSL_CTX_set_app_data(it, &m_alert);
            SSL_CTX_set_info_callback(it, &reportAlert);
        }
    }
    *m_contexts = std::move(next);
    m_expiry = files.expiry();
    m_stamp = stamp;
    return outcome::success();
}

bool TlsContext::filesChanged() const
{
    return TlsFiles(m_settings).stamp() != m_stamp;
}

ssl_st *TlsContext::newServerSession() const
{
    return m_contexts->server ? SSL_new(m_contexts->server.get()) : nullptr;
}

ssl_st *TlsContext::newClientSession(const std::string &ip) const
{
    if (!m_contexts->client)
        return nullptr;
    SSL *out = SSL_new(m_contexts->client.get());
    if (X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(out), ip.c_str()) == 1)
        return out;
    SSL_free(out);
    return nullptr;
}

} // namespace catkinloft
