#include "SlowReader.h"
#include "fleet/EntryFleet.h"
#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::EntryFleet;
using standin::Fleet;

namespace {

/// Of an answer. It takes longer than the time in which a router that stops accepts requests (2.8
/// s) and ends well before the router is killed (8 s).
constexpr std::size_t AnswerBytes = 2'000'000;
constexpr std::size_t BytesPerSecond = 400'000;
constexpr int Callers = 3; ///< For each kind of call.

std::string request(const std::string &path, const std::string &id)
{
    return fmt::format("GET {}?bytes={} HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {}\r\n"
                       "X-Request-Id: {}\r\n\r\n",
                       path, AnswerBytes, EntryFleet::Host, EntryFleet::Key, id);
}

} // namespace

// Guards against a router that ends as soon as its calls are over, while their answers are still
// being sent: callers with a slow link lose answers to requests that ran.
TEST_CASE("entry_routerStopsWhileAnswersAreSent_answersAreComplete")
{
    EntryFleet fleet{{.binaries = CATKINLOFT_BINARIES, .routers = 1, .replicas = 1}};
    fleet.start();
    std::vector<std::unique_ptr<SlowReader>> callers;
    for (const char *path : {"/once/a", "/safe/a"}) {
        for (int i = 0; i < Callers; ++i) {
            callers.push_back(std::make_unique<SlowReader>(fleet.callerAddress(0)));
            const std::string id = fmt::format("caller-{}", callers.size());
            REQUIRE(callers.back()->send(request(path, id)));
        }
    }
    for (const auto &it : callers)
        REQUIRE(it->readHead(10s));
    fleet.router(0).signal(SIGTERM);
    std::vector<SlowReader::Answer> answers(callers.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers.size(); ++i)
        threads.emplace_back([&, i] { answers[i] = callers[i]->readBody(BytesPerSecond); });
    for (std::thread &it : threads)
        it.join();
    for (const SlowReader::Answer &it : answers) {
        CHECK(it.status == 200);
        CHECK(it.bodyLength == AnswerBytes);
        CHECK(it.bodyBytes == AnswerBytes);
    }
    CHECK(Fleet::waitFor([&] { return !fleet.router(0).isRunning(); }));
}

// Guards against a router that ends with all of its requests in progress because it is told that a
// file has changed and reads none again.
TEST_CASE("router_hangupWithoutTls_routerGoesOn")
{
    standin::Deployment small = standin::deploymentNamed("sofiyska");
    small.engines = 1;
    small.replicas = 1;
    small.routers = 1;
    Fleet fleet({.deployment = small, .binaries = CATKINLOFT_BINARIES});
    fleet.start();
    fleet.router(0).signal(SIGHUP);
    std::this_thread::sleep_for(200ms);
    CHECK(fleet.router(0).isRunning());
    CHECK(Fleet::isListening(fleet.routerAddress(0)));
}
