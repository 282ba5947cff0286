#include "Cli/internal/Tools.h"

#include "Base/Json.h"
#include "Net/EventLoop.h"
#include "Net/TlsContext.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(ca, "",
              "PEM file of the authority that routers' certificates are checked against; "
              "empty: plain HTTP");
DEFINE_string(router, "127.0.0.1:8080", "address of any router, IP:PORT");

namespace catkinloft::internal {

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream in(path, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::optional<std::string> readArgument(const char *path)
{
    auto text = readFile(path);
    if (!text)
        printError(fmt::format("can not read {}", path));
    return text;
}

Result<HttpAnswer> fetchBlocking(HttpCall call)
{
    EventLoop loop;
    TlsContext tls({.certificateFile = {}, .keyFile = {}, .caFile = FLAGS_ca});
    if (const Result<void> result = tls.load(loop.wallNow()); !result)
        return result.error();
    call.secure = tls.verifiesUpstreams();
    HttpClient client(loop, &tls);
    std::optional<Result<HttpAnswer>> out;
    client.fetch(std::move(call), [&](Result<HttpAnswer> answer) {
        out = std::move(answer);
        loop.stop();
    });
    loop.run();
    return *out;
}

Result<Json::Value> fetchJson(const std::string &target)
{
    const Result<HttpAnswer> answer = fetchBlocking(
            {.address = routerAddress(), .target = target, .headers = authorization()});
    if (!answer)
        return answer.error();
    if (answer.value().head.status != 200)
        return Error{.reason = Reason::UpstreamRefused, .detail = answer.value().body};
    return parseJsonObject(answer.value().body);
}

std::string routerAddress()
{
    return FLAGS_router;
}

HttpHeaders authorization()
{
    const char *key = std::getenv("CATKINLOFT_KEY");
    if (!key)
        return {};
    return {{"Authorization", fmt::format("Bearer {}", key)}};
}

void printError(const std::string &text)
{
    fmt::print(stderr, "catkinloft: {}\n", text);
}

void ignoreHangup()
{
    std::signal(SIGHUP, SIG_IGN);
}

} // namespace catkinloft::internal
