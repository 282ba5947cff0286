#include "Base/Clock.h"
#include "Certificates.h"
#include "Net/TlsContext.h"

#include <doctest/doctest.h>

#include <array>
#include <functional>

using namespace catkinloft;

namespace {

struct TlsFilesFixture
{
    TlsFilesFixture()
    {
        settings = {.certificateFile = files.writeCertificate("cert.pem", router),
                    .keyFile = files.writeKey("key.pem", router),
                    .caFile = files.writeCertificate("ca.pem", authority)};
    }

    static WallTime now()
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now());
    }

    Certificates files;
    Certificates::Pair authority = Certificates::make({});
    Certificates::Pair router = Certificates::make({}, &authority);
    TlsSettings settings;
};

struct InvalidFile
{
    const char *what;
    std::function<void(TlsFilesFixture &)> corrupt;
    const char *message;
};

const std::array InvalidFiles = {
        InvalidFile{"key readable by the group",
                    [](TlsFilesFixture &it) { it.files.writeKey("key.pem", it.router, 0640); },
                    "others may access the private key (mode 0640)"},
        InvalidFile{"key readable by all",
                    [](TlsFilesFixture &it) { it.files.writeKey("key.pem", it.router, 0644); },
                    "others may access the private key (mode 0644)"},
        InvalidFile{"key of another certificate",
                    [](TlsFilesFixture &it) { it.files.writeKey("key.pem", it.authority); },
                    "does not belong to the certificate"},
        InvalidFile{"no key", [](TlsFilesFixture &it) { it.settings.keyFile += ".none"; },
                    "can not be read"},
        InvalidFile{"certificate in place of the key",
                    [](TlsFilesFixture &it) { it.files.writeCertificate("key.pem", it.router); },
                    "expected a private key in PEM"},
        InvalidFile{"expired",
                    [](TlsFilesFixture &it) {
                        it.files.writeCertificate(
                                "cert.pem",
                                Certificates::make({.beginsInSeconds = -90, .endsInSeconds = -30},
                                                   &it.authority));
                    },
                    "the certificate expired at"},
        InvalidFile{"not valid yet",
                    [](TlsFilesFixture &it) {
                        it.files.writeCertificate(
                                "cert.pem",
                                Certificates::make({.beginsInSeconds = 900}, &it.authority));
                    },
                    "the certificate is not valid before"},
        InvalidFile{"no certificate",
                    [](TlsFilesFixture &it) { it.settings.certificateFile += ".none"; },
                    "expected a certificate in PEM"},
        InvalidFile{"no authority for calls between routers",
                    [](TlsFilesFixture &it) { it.settings.caFile.clear(); }, "tls.ca_file"},
        InvalidFile{"authority that is none",
                    [](TlsFilesFixture &it) { it.settings.caFile = it.settings.keyFile; },
                    "expected certificates in PEM"}};

} // namespace

TEST_CASE_FIXTURE(TlsFilesFixture, "tlsFiles_good_haveNoProblemAndAnExpiry")
{
    CHECK(tlsProblems(settings, now()).empty());
    TlsContext context(settings);
    CHECK(context.load(now()));
    REQUIRE(context.expiry());
    CHECK(toSeconds(*context.expiry() - now()) == doctest::Approx(3600).epsilon(0.05));
    CHECK(tlsProblems({}, now()).empty());
}

TEST_CASE("tlsFiles_eachMistake_isNamedAndNotLoaded")
{
    for (const InvalidFile &it : InvalidFiles) {
        CAPTURE(it.what);
        TlsFilesFixture fixture;
        it.corrupt(fixture);
        const auto problems = tlsProblems(fixture.settings, TlsFilesFixture::now());
        REQUIRE_FALSE(problems.empty());
        bool found = false;
        for (const std::string &problem : problems)
            found = found || problem.find(it.message) != std::string::npos;
        CHECK_MESSAGE(found, problems.front());
        CHECK_FALSE(TlsContext(fixture.settings).load(TlsFilesFixture::now()));
    }
}

TEST_CASE_FIXTURE(TlsFilesFixture, "tlsFiles_replaced_areSeenAndABadReplacementKeepsTheOld")
{
    TlsContext context(settings);
    REQUIRE(context.load(now()));
    CHECK_FALSE(context.filesChanged());
    const auto expiry = context.expiry();
    const Certificates::Pair next = Certificates::make({.endsInSeconds = 90'000}, &authority);
    files.writeCertificate("cert.pem", next);
    CHECK(context.filesChanged());
    CHECK_FALSE(context.load(now())); // Its key has not been written yet.
    CHECK(context.expiry() == expiry);
    CHECK(context.filesChanged());
    files.writeKey("key.pem", next);
    CHECK(context.load(now()));
    CHECK(context.expiry() > expiry);
}
