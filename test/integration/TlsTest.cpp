#include "../Certificates.h"
#include "Net/Net.h"
#include "Net/TlsContext.h"
#include "fleet/Fleet.h"
#include "fleet/PortAllocator.h"

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <fstream>
#include <optional>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::ChildProcess;
using standin::Fleet;

namespace {

WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
}

/// A TLS listener and its client on one event loop.
struct TlsFixture
{
    TlsSettings listenerFiles(const Certificates::Pair &pair) const
    {
        return {.certificateFile = files.writeCertificate("cert.pem", pair),
                .keyFile = files.writeKey("key.pem", pair),
                .caFile = files.writeCertificate("ca.pem", authority)};
    }

    /// \param loadedAt when the listener read its files; its certificate may have expired since
    /// then.
    void listen(const TlsSettings &settings, WallTime loadedAt = wallNow())
    {
        listenerTls = std::make_unique<TlsContext>(settings);
        REQUIRE(listenerTls->load(loadedAt));
        server = std::make_unique<HttpServer>(
                loop,
                HttpServer::Options{.address = address, .limits = {}, .tls = listenerTls.get()},
                [this](const HttpExchangePtr &it) {
                    ++requests;
                    if (it->path() != "/broken") {
                        it->respond(200, {}, "answer");
                        return;
                    }
                    it->beginStream(200, {});
                    it->write("half of");
                    it->abort();
                });
        REQUIRE(server->listen());
    }

    Result<HttpAnswer> call(bool secure, const TlsContext *tls, const char *target = "/")
    {
        HttpClient client(loop, tls);
        std::optional<Result<HttpAnswer>> out;
        client.fetch({.address = address, .target = target, .timeout = 5s, .secure = secure},
                     [&](Result<HttpAnswer> answer) {
                         out = std::move(answer);
                         loop.stop();
                     });
        loop.run();
        return *out;
    }

    std::unique_ptr<TlsContext> clientTls(const Certificates::Pair &trusted)
    {
        auto out = std::make_unique<TlsContext>(
                TlsSettings{.certificateFile = {},
                            .keyFile = {},
                            .caFile = files.writeCertificate("trusted.pem", trusted)});
        REQUIRE(out->load(wallNow()));
        return out;
    }

    Certificates files;
    Certificates::Pair authority = Certificates::make({});
    EventLoop loop;
    std::string address = fmt::format("127.0.0.1:{}", standin::freePorts(1).front());
    std::unique_ptr<TlsContext> listenerTls;
    std::unique_ptr<HttpServer> server;
    int requests = 0;
};

/// A certificate that a client must refuse.
struct BadCertificate
{
    const char *what;
    Certificates::Subject subject;
    bool byOwnAuthority;
    int loadedSecondsAgo;
    const char *detail;
};

const std::array BadCertificates = {
        BadCertificate{"of an unknown authority", {}, false, 0, "certificate refused"},
        BadCertificate{"for another address", {.ip = "127.0.0.9"}, true, 0, "mismatch"},
        BadCertificate{"expired since it was loaded",
                       {.beginsInSeconds = -100, .endsInSeconds = -10},
                       true,
                       50,
                       "expired"},
        BadCertificate{"not valid yet",
                       {.beginsInSeconds = 900, .endsInSeconds = 9000},
                       true,
                       -1000,
                       "not yet valid"}};

} // namespace

TEST_CASE_FIXTURE(TlsFixture, "tls_goodCertificate_answersOverTls")
{
    listen(listenerFiles(Certificates::make({}, &authority)));
    const auto tls = clientTls(authority);
    const Result<HttpAnswer> answer = call(true, tls.get());
    REQUIRE(answer);
    CHECK(answer.value().body == "answer");
}

TEST_CASE("tls_badCertificate_isRefusedAsNotRunAndNothingIsSent")
{
    for (const BadCertificate &it : BadCertificates) {
        CAPTURE(it.what);
        TlsFixture fixture;
        const Certificates::Pair other = Certificates::make({});
        const Certificates::Pair pair =
                Certificates::make(it.subject, it.byOwnAuthority ? &fixture.authority : &other);
        fixture.listen(fixture.listenerFiles(pair),
                       wallNow() - std::chrono::seconds(it.loadedSecondsAgo));
        const auto tls = fixture.clientTls(fixture.authority);
        const Result<HttpAnswer> answer = fixture.call(true, tls.get());
        REQUIRE_FALSE(answer);
        CHECK((answer.error().reason == Reason::UpstreamUnreachable));
        CHECK((answer.error().verdict == Verdict::NotRun));
        CHECK_MESSAGE(answer.error().detail.find(it.detail) != std::string::npos,
                      answer.error().detail);
        CHECK(fixture.requests == 0);
    }
}

TEST_CASE_FIXTURE(TlsFixture, "tls_noTrustedAuthority_failsAsNotRunAndIsNotHandled")
{
    listen(listenerFiles(Certificates::make({}, &authority)));
    const Result<HttpAnswer> answer = call(true, nullptr);
    REQUIRE_FALSE(answer);
    CHECK((answer.error().verdict == Verdict::NotRun));
    CHECK(requests == 0);
}

TEST_CASE_FIXTURE(TlsFixture, "tls_plainCallToATlsListener_isNotHandled")
{
    listen(listenerFiles(Certificates::make({}, &authority)));
    CHECK_FALSE(call(false, nullptr));
    CHECK(requests == 0);
}

TEST_CASE_FIXTURE(TlsFixture, "tls_incompleteStream_failsAsMayHaveRun")
{
    listen(listenerFiles(Certificates::make({}, &authority)));
    const auto tls = clientTls(authority);
    const Result<HttpAnswer> answer = call(true, tls.get(), "/broken");
    REQUIRE_FALSE(answer);
    CHECK((answer.error().verdict == Verdict::MayHaveRun));
}

TEST_CASE_FIXTURE(TlsFixture, "tls_certificateReplaced_newConnectionsGetItWithoutARestart")
{
    const Certificates::Pair nextAuthority = Certificates::make({});
    listen(listenerFiles(Certificates::make({}, &authority)));
    const auto oldTls = clientTls(authority);
    const auto nextTls = clientTls(nextAuthority);
    CHECK(call(true, oldTls.get()));
    CHECK_FALSE(call(true, nextTls.get()));
    listenerFiles(Certificates::make({}, &nextAuthority));
    REQUIRE(listenerTls->load(wallNow()));
    CHECK(call(true, nextTls.get()));
    CHECK_FALSE(call(true, oldTls.get()));
}

namespace {

/// A router process that serves callers over TLS; its platform services are unreachable.
struct TlsRouterFixture : TlsFixture
{
    std::unique_ptr<ChildProcess> start(const TlsSettings &tls)
    {
        const auto ports = standin::freePorts(2);
        std::ofstream out(files.path("router.yaml"));
        out << fmt::format("name: r\nfailure_domain: d\nregion: r\ncaller_address: {}\n"
                           "peer_address: 127.0.0.1:{}\n"
                           "peer_keys: [{{id: k, secret: peer-secret-of-the-tests}}]\n"
                           "refusal_keys: [{{id: r, secret: refusal-secret-of-tests}}]\n"
                           "platform: {{table_service: 127.0.0.1:{}, object_store: 127.0.0.1:{}, "
                           "vm_list: 127.0.0.1:{}}}\n"
                           "tls: {{certificate_file: {}, key_file: {}, ca_file: {}}}\n",
                           address, ports[0], ports[1], ports[1], ports[1], tls.certificateFile,
                           tls.keyFile, tls.caFile);
        out.close();
        return std::make_unique<ChildProcess>(
                std::vector<std::string>{CATKINLOFT_BINARIES "/catkinloft", "router",
                                         files.path("router.yaml")},
                files.path("router.log"));
    }

    bool answers(const TlsContext &tls)
    {
        return Fleet::waitFor([&] {
            const Result<HttpAnswer> answer = call(true, &tls, "/healthz");
            return answer && answer.value().head.status == 200;
        });
    }
};

} // namespace

TEST_CASE_FIXTURE(TlsRouterFixture, "tlsRouter_certificateReplacedAndHangup_servesTheNewOne")
{
    const Certificates::Pair nextAuthority = Certificates::make({});
    const auto oldTls = clientTls(authority);
    const auto nextTls = clientTls(nextAuthority);
    const auto router = start(listenerFiles(Certificates::make({}, &authority)));
    CHECK(answers(*oldTls));
    const Result<HttpAnswer> metrics = call(true, oldTls.get(), "/metrics");
    REQUIRE(metrics);
    CHECK(metrics.value().body.find("catkinloft_tls_certificate_expires_seconds")
          != std::string::npos);
    listenerFiles(Certificates::make({}, &nextAuthority));
    router->signal(SIGHUP);
    CHECK(answers(*nextTls));
}

TEST_CASE_FIXTURE(TlsRouterFixture, "tlsRouter_keyThatOthersMayRead_doesNotStart")
{
    TlsSettings tls = listenerFiles(Certificates::make({}, &authority));
    chmod(tls.keyFile.c_str(), 0644);
    CHECK(start(tls)->wait() == 1);
}
