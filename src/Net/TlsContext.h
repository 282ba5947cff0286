#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"
#include "Base/Settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct ssl_st;

namespace catkinloft {

/// \returns what is wrong with the files of \a settings at \a now, each with its path: unreadable,
/// a private key that others may read, a key of another certificate, a certificate that has expired
/// or is not valid yet. Empty: none is, or TLS is off.
std::vector<std::string> tlsProblems(const TlsSettings &settings, WallTime now);

/// \brief Certificates and keys of one process, for its listener and for its calls to upstreams.
///
/// Sessions opened before reload() keep the certificate that they began with; no connection is cut.
class TlsContext
{
public:
    /// \param alert told of each fatal alert: whether this side sent it, and its name.
    using AlertHook = std::function<void(bool sent, std::string_view alert)>;

    explicit TlsContext(TlsSettings settings, AlertHook alert = {});
    ~TlsContext();
    TlsContext(const TlsContext &) = delete;
    TlsContext &operator=(const TlsContext &) = delete;

    /// \brief Reads the files. After an error everything stays as it was.
    Result<void> load(WallTime now);

    /// \returns whether a file changed since load() succeeded.
    bool filesChanged() const;

    /// \returns whether the listener speaks TLS.
    bool hasCertificate() const { return !m_settings.certificateFile.empty(); }

    /// \returns whether upstreams are spoken to over TLS.
    bool verifiesUpstreams() const { return !m_settings.caFile.empty(); }

    /// \returns when the listener's certificate expires; nothing without one.
    std::optional<WallTime> expiry() const { return m_expiry; }

    /// \returns a new session of the listener; owned by the caller.
    ssl_st *newServerSession() const;

    /// \returns a new session towards an upstream whose certificate has to name \a ip; owned by the
    /// caller. nullptr without load() or a CA file.
    ssl_st *newClientSession(const std::string &ip) const;

private:
    struct Contexts;

    TlsSettings m_settings;
    AlertHook m_alert;
    std::unique_ptr<Contexts> m_contexts;
    std::optional<WallTime> m_expiry;
    std::string m_stamp; ///< Of the files when they were read.
};

} // namespace catkinloft
