#pragma once

#include <cstdio>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdlib.h>
#include <sys/stat.h>

namespace catkinloft {

/// \brief A temporary directory with certificates that libcrypto generates when the test runs.
class Certificates
{
public:
    /// \brief Address and validity period of a certificate.
    struct Subject
    {
        std::string ip = "127.0.0.1";
        int beginsInSeconds = -60;
        int endsInSeconds = 3600;
    };

    /// \brief A certificate with its key.
    struct Pair
    {
        std::shared_ptr<X509> certificate;
        std::shared_ptr<EVP_PKEY> key;
    };

    Certificates()
    {
        std::string path =
                (std::filesystem::temp_directory_path() / "catkinloft-tls-XXXXXX").string();
        if (!mkdtemp(path.data()))
            throw std::runtime_error("no temporary folder");
        m_folder = path;
    }
    ~Certificates()
    {
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }
    Certificates(const Certificates &) = delete;
    Certificates &operator=(const Certificates &) = delete;

    std::string path(const std::string &name) const { return m_folder + "/" + name; }

    /// \param issuer nullptr: the certificate is self-signed.
    static Pair make(const Subject &subject, const Pair *issuer = nullptr)
    {
        Pair out{.certificate = {X509_new(), &X509_free},
                 .key = {EVP_EC_gen("P-256"), &EVP_PKEY_free}};
        X509 *it = out.certificate.get();
        X509_set_version(it, X509_VERSION_3);
        ASN1_INTEGER_set(X509_get_serialNumber(it), ++serial());
        X509_gmtime_adj(X509_getm_notBefore(it), subject.beginsInSeconds);
        X509_gmtime_adj(X509_getm_notAfter(it), subject.endsInSeconds);
        X509_set_pubkey(it, out.key.get());
        X509_NAME *name = X509_get_subject_name(it);
        const std::string text = "test " + std::to_string(serial());
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char *>(text.c_str()), -1, -1,
                                   0);
        X509_set_issuer_name(it, issuer ? X509_get_subject_name(issuer->certificate.get()) : name);
        addExtension(it, NID_basic_constraints, issuer ? "CA:FALSE" : "critical,CA:TRUE");
        if (issuer)
            addExtension(it, NID_subject_alt_name, "IP:" + subject.ip);
        X509_sign(it, issuer ? issuer->key.get() : out.key.get(), EVP_sha256());
        return out;
    }

    std::string writeCertificate(const std::string &name, const Pair &pair) const
    {
        std::FILE *file = std::fopen(path(name).c_str(), "w");
        PEM_write_X509(file, pair.certificate.get());
        std::fclose(file);
        return path(name);
    }

    std::string writeKey(const std::string &name, const Pair &pair, mode_t mode = 0600) const
    {
        std::FILE *file = std::fopen(path(name).c_str(), "w");
        PEM_write_PrivateKey(file, pair.key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        chmod(path(name).c_str(), mode);
        return path(name);
    }

private:
    static long &serial()
    {
        static long n = 0;
        return n;
    }

    static void addExtension(X509 *certificate, int id, const std::string &value)
    {
        X509_EXTENSION *it = X509V3_EXT_conf_nid(nullptr, nullptr, id, value.c_str());
        X509_add_ext(certificate, it, -1);
        X509_EXTENSION_free(it);
    }

    std::string m_folder;
};

} // namespace catkinloft
