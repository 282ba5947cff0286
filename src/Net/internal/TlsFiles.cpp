#include "Net/internal/TlsFiles.h"

#include <cstdio>
#include <ctime>
#include <memory>

#include <fmt/format.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <sys/stat.h>

namespace catkinloft::internal {

namespace {

struct FreeAll
{
    void operator()(X509 *it) const { X509_free(it); }
    void operator()(EVP_PKEY *it) const { EVP_PKEY_free(it); }
    void operator()(std::FILE *it) const { std::fclose(it); }
};

using FilePtr = std::unique_ptr<std::FILE, FreeAll>;
using CertificatePtr = std::unique_ptr<X509, FreeAll>;
using KeyPtr = std::unique_ptr<EVP_PKEY, FreeAll>;

constexpr mode_t OthersMayAccess = S_IRWXG | S_IRWXO;

CertificatePtr readCertificate(const std::string &path)
{
    const FilePtr file(std::fopen(path.c_str(), "re"));
    CertificatePtr out(file ? PEM_read_X509(file.get(), nullptr, nullptr, nullptr) : nullptr);
    ERR_clear_error();
    return out;
}

/// Password callback that fails: an encrypted key can't be read, because nobody can enter its
/// password.
int noPassword(char *, int, int, void *)
{
    return 0;
}

KeyPtr readKey(const std::string &path)
{
    const FilePtr file(std::fopen(path.c_str(), "re"));
    KeyPtr out(file ? PEM_read_PrivateKey(file.get(), nullptr, &noPassword, nullptr) : nullptr);
    ERR_clear_error();
    return out;
}

std::optional<WallTime> timeOf(const ASN1_TIME *time)
{
    std::tm parts{};
    if (!time || ASN1_TIME_to_tm(time, &parts) != 1)
        return std::nullopt;
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::from_time_t(timegm(&parts)));
}

std::string dateText(const ASN1_TIME *time)
{
    std::tm parts{};
    if (ASN1_TIME_to_tm(time, &parts) != 1)
        return "an unknown time";
    return fmt::format("{:04}-{:02}-{:02} {:02}:{:02} UTC", parts.tm_year + 1900, parts.tm_mon + 1,
                       parts.tm_mday, parts.tm_hour, parts.tm_min);
}

} // namespace

std::vector<std::string> TlsFiles::problems(WallTime now) const
{
    std::vector<std::string> out;
    if (!m_settings.certificateFile.empty()) {
        checkCertificate(now, out);
        checkKey(out);
    }
    if (!m_settings.caFile.empty())
        checkCa(out);
    else if (!m_settings.certificateFile.empty())
        out.push_back(
                "tls.ca_file: expected with certificate_file, since routers call each other's "
                "listeners");
    return out;
}

void TlsFiles::checkCertificate(WallTime now, std::vector<std::string> &out) const
{
    const std::string &path = m_settings.certificateFile;
    const CertificatePtr it = readCertificate(path);
    if (!it) {
        out.push_back(fmt::format("{}: expected a certificate in PEM", path));
        return;
    }
    const ASN1_TIME *begin = X509_get0_notBefore(it.get());
    const ASN1_TIME *end = X509_get0_notAfter(it.get());
    if (timeOf(end).value_or(now) <= now)
        out.push_back(fmt::format("{}: the certificate expired at {}", path, dateText(end)));
    if (timeOf(begin).value_or(now) > now)
        out.push_back(
                fmt::format("{}: the certificate is not valid before {}", path, dateText(begin)));
}

void TlsFiles::checkKey(std::vector<std::string> &out) const
{
    const std::string &path = m_settings.keyFile;
    struct stat info = {};
    if (stat(path.c_str(), &info) != 0) {
        out.push_back(fmt::format("{}: can not be read", path));
        return;
    }
    if ((info.st_mode & OthersMayAccess) != 0)
        out.push_back(fmt::format("{}: others may access the private key (mode {:04o}), expected "
                                  "0600 or 0400",
                                  path, info.st_mode & 07777));
    const KeyPtr key = readKey(path);
    const CertificatePtr certificate = readCertificate(m_settings.certificateFile);
    if (!key)
        out.push_back(fmt::format("{}: expected a private key in PEM without a password", path));
    else if (certificate && X509_check_private_key(certificate.get(), key.get()) != 1)
        out.push_back(fmt::format("{}: the key does not belong to the certificate {}", path,
                                  m_settings.certificateFile));
    ERR_clear_error();
}

void TlsFiles::checkCa(std::vector<std::string> &out) const
{
    if (!readCertificate(m_settings.caFile))
        out.push_back(fmt::format("{}: expected certificates in PEM", m_settings.caFile));
}

std::optional<WallTime> TlsFiles::expiry() const
{
    const CertificatePtr it = m_settings.certificateFile.empty()
            ? nullptr
            : readCertificate(m_settings.certificateFile);
    return it ? timeOf(X509_get0_notAfter(it.get())) : std::nullopt;
}

std::string TlsFiles::stamp() const
{
    std::string out;
    for (const std::string &it :
         {m_settings.certificateFile, m_settings.keyFile, m_settings.caFile}) {
        struct stat info = {};
        if (!it.empty() && stat(it.c_str(), &info) == 0)
            out += fmt::format("{}/{}/{}.{};", info.st_ino, info.st_size, info.st_mtim.tv_sec,
                               info.st_mtim.tv_nsec);
    }
    return out;
}

} // namespace catkinloft::internal
