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

/// \returns the problems of the files of \a settings at \a now, each with its path.
///
/// Problems are a file that can't be read, a private key that others may access, a key that doesn't
/// belong to the certificate, and a certificate that has expired or is not valid yet. The result is
/// empty if there are none or TLS is off.
std::vector<std::string> tlsProblems(const TlsSettings &settings, WallTime now);

/// \brief Holds certificates and keys of one process, for its listener and its calls to upstreams.
///
/// Sessions opened before another load() keep their certificate; no connection is closed.
class TlsContext
{
public:
    /// Called for each fatal alert, with whether this side sent it and its name.
    using AlertHook = std::function<void(bool sent, std::string_view alert)>;

    explicit TlsContext(TlsSettings settings, AlertHook alert = {});
    ~TlsContext();
    TlsContext(const TlsContext &) = delete;
    TlsContext &operator=(const TlsContext &) = delete;

    /// \brief Reads the files. After an error the previous certificates and keys stay in use.
    Result<void> load(WallTime now);

    /// \returns whether a file changed since load() succeeded.
    bool filesChanged() const;

    /// \returns whether the listener uses TLS.
    bool hasCertificate() const { return !m_settings.certificateFile.empty(); }

    /// \returns whether upstreams are called over TLS.
    bool verifiesUpstreams() const { return !m_settings.caFile.empty(); }

    /// \returns when the listener's certificate expires; empty without a certificate.
    std::optional<WallTime> expiry() const { return m_expiry; }

    /// \returns a new session of the listener; owned by the caller.
    ssl_st *newServerSession() const;

    /// \returns a new session to an upstream whose certificate has to be issued for \a ip; owned by
    /// the caller. nullptr before load() or without a CA file.
    ssl_st *newClientSession(const std::string &ip) const;

private:
    struct Contexts;

    TlsSettings m_settings;
    AlertHook m_alert;
    std::unique_ptr<Contexts> m_contexts;
    std::optional<WallTime> m_expiry;
    std::string m_stamp; ///< Stamp of the files when they were read.
};

} // namespace catkinloft
