#pragma once

#include "Base/Clock.h"
#include "Base/Settings.h"

#include <optional>
#include <string>
#include <vector>

namespace catkinloft::internal {

/// \brief Checks the files that are named in TLS settings.
class TlsFiles
{
public:
    explicit TlsFiles(const TlsSettings &settings) : m_settings(settings) { }

    /// \sa tlsProblems()
    std::vector<std::string> problems(WallTime now) const;

    /// \returns when the certificate expires; empty without a certificate.
    std::optional<WallTime> expiry() const;

    /// \returns a text that changes when one of the files is replaced or modified.
    std::string stamp() const;

private:
    void checkCertificate(WallTime now, std::vector<std::string> &out) const;
    void checkKey(std::vector<std::string> &out) const;
    void checkCa(std::vector<std::string> &out) const;

    const TlsSettings &m_settings;
};

} // namespace catkinloft::internal
