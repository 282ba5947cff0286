#include "Base/Settings.h"
#include "EntryGatewayFixture.h"
#include "Net/HttpClient.h"
#include "Net/HttpEngineClient.h"
#include "Net/PlatformAdapters.h"
#include "platform/StoreClient.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using Reply = ScriptedReplica::Reply;

namespace {

std::string answerOf(int status, const std::string &body)
{
    return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body);
}

/// A server whose first answer is a refusal, of which a copy is sent in front of the second answer.
struct CopyingServer
{
    CopyingServer(EventLoop &loop, int status, const std::string &refusal,
                  const std::string &success)
        : server(loop, [=](const std::string &, std::size_t n) -> Reply {
              const std::string first = answerOf(status, refusal);
              return n == 0 ? Reply{.bytes = first, .beforeNext = first}
                            : Reply{.bytes = answerOf(200, success)};
          })
    { }

    ScriptedReplica server;
};

/// \returns what \a call passes to its callback.
template<typename T, typename Call>
Result<T> resultOf(EventLoop &loop, Call call)
{
    std::optional<Result<T>> out;
    call([&](Result<T> result) {
        out = std::move(result);
        loop.stop();
    });
    loop.run();
    REQUIRE(out);
    return *out;
}

/// Commits two writes at a store that refuses the first one with \a status and performs the second.
/// \returns whether the second one is taken for refused.
bool isNextStoreWriteTakenForRefused(int status)
{
    EventLoop loop;
    HttpClient client(loop);
    const CopyingServer store(loop, status, R"({"rows":[]})", R"({"ver":7})");
    platform::StoreClient it(client, store.server.address());
    const auto commit = [&](auto done) {
        it.commit({}, {{.table = "t", .key = "k", .value = "v"}}, done);
    };
    const auto first = resultOf<platform::StoreCommit>(loop, commit);
    CHECK_FALSE((first && first.value().committed));
    const auto second = resultOf<platform::StoreCommit>(loop, commit);
    REQUIRE(store.server.requests().size() == 2);
    return second ? !second.value().committed : second.error().verdict == Verdict::NotRun;
}

/// The same for the table service of the own interface.
bool isNextTableWriteTakenForRefused(int status)
{
    EventLoop loop;
    HttpClient client(loop);
    const CopyingServer table(loop, status, "{}", R"({"committed":true,"current":[]})");
    PlatformSettings settings;
    settings.tableService = table.server.address();
    const auto it = makeHttpTableService(client, settings);
    const auto commit = [&](auto done) {
        it->commit({.expects = {}, .writes = {{.key = "k", .value = "v"}}}, done);
    };
    CHECK_FALSE(resultOf<TableCommit>(loop, commit));
    const auto second = resultOf<TableCommit>(loop, commit);
    REQUIRE(table.server.requests().size() == 2);
    return second ? !second.value().committed : second.error().verdict == Verdict::NotRun;
}

} // namespace

// Guards against a write that took effect and is taken for refused, because the answer to it is
// preceded by the copy of the refusal of an earlier write.
TEST_CASE("copiedAnswer_storeIsOverloaded_nextWriteIsKnownToTakeEffect")
{
    for (const int status : {429, 503}) {
        CAPTURE(status);
        CHECK_FALSE(isNextStoreWriteTakenForRefused(status));
        CHECK_FALSE(isNextTableWriteTakenForRefused(status));
    }
}

// As above, for refusals because of what the store holds or of what the write contains.
TEST_CASE("copiedAnswer_storeDeniesAWrite_nextWriteIsKnownToTakeEffect")
{
    for (const int status : {400, 409, 412}) {
        CAPTURE(status);
        CHECK_FALSE(isNextStoreWriteTakenForRefused(status));
        CHECK_FALSE(isNextTableWriteTakenForRefused(status));
    }
}

// Guards against a refused order of an engine whose copy is taken for the answer to the next one.
TEST_CASE("copiedAnswer_engineRefusesAnOrder_nextOrderIsKnownToBeApplied")
{
    EventLoop loop;
    HttpClient client(loop);
    const CopyingServer engine(loop, 409, R"({"fence":9})", "{}");
    HttpEngineClient it({.loop = loop, .client = client, .weightStore = {}});
    const auto order = [&](auto done) {
        it.sendOrder(engine.server.address(), {.fence = 3, .id = "o"}, done);
    };
    const auto first = resultOf<OrderAnswer>(loop, order);
    CHECK((first && !first.value().applied));
    const auto second = resultOf<OrderAnswer>(loop, order);
    CHECK((second && second.value().applied));
}

// Guards against a request that runs and is taken for misdirected, because the answer to it is
// preceded by the copy of a replica's answer to a probe of its path, which has no id.
TEST_CASE_FIXTURE(EntryGatewayFixture, "copiedAnswer_probeOfAPath_nextRequestIsServed")
{
    int runs = 0;
    addReplica([&](const std::string &request, std::size_t) -> Reply {
        if (ScriptedReplica::headerOf(request, "X-Target-Instance") == "none")
            return {.bytes = answerOf(421, ""), .beforeNext = answerOf(421, "")};
        ++runs;
        return ok(request, 0);
    });
    bool isProbed = false;
    client.fetch({.address = replicas[0]->address(),
                  .headers = codec.pathProbeHeaders(),
                  .freshConnection = true},
                 [&](const Result<HttpAnswer> &answer) {
                     CHECK((answer && answer.value().head.status == 421));
                     isProbed = true;
                 });
    REQUIRE(until([&] { return isProbed; }));
    RawCaller caller(Port);
    const std::string answer = call(caller, request("POST", "/once/", {}, "x"), "fine");
    CAPTURE(answer);
    CHECK(runs == 1);
    CHECK(answer.starts_with("HTTP/1.1 200"));
}
