#include "platform/PlatformTable.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "fleet/ChildProcess.h"
#include "fleet/Fleet.h"
#include "fleet/PortAllocator.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

using namespace catkinloft;
using standin::ChildProcess;
using standin::Fleet;

namespace {

/// A PlatformTable connected to a stand-in of the platform's row store.
struct PlatformTableFixture
{
    PlatformTableFixture()
    {
        REQUIRE(Fleet::waitFor([this] {
            return bool(Fleet::fetch({.address = address, .target = "/v1/rows-get?table=none"}));
        }));
    }

    /// Writes \a n rows, 100 in each transaction.
    void write(int n)
    {
        TableTransaction transaction;
        for (int i = 0; i < n; ++i) {
            transaction.writes.push_back(
                    {.key = fmt::format("fleet/router/r{:04}", i), .value = "a row"});
            if (transaction.writes.size() < 100 && i + 1 < n)
                continue;
            table.commit(std::exchange(transaction, {}), [this](const Result<TableCommit> &commit) {
                CHECK(commit);
                loop.stop();
            });
            loop.run();
        }
    }

    std::vector<TableRow> scan(std::size_t limit)
    {
        std::vector<TableRow> out;
        table.scan("fleet/", limit, [&](const Result<std::vector<TableRow>> &rows) {
            REQUIRE(rows);
            out = rows.value();
            loop.stop();
        });
        loop.run();
        return out;
    }

    std::string address = fmt::format("127.0.0.1:{}", standin::freePorts(1).front());
    ChildProcess process{{std::string(CATKINLOFT_BINARIES) + "/catkinloft-standin",
                          "--listen=" + address, "rowstore"},
                         ""};
    EventLoop loop;
    HttpClient client{loop};
    platform::PlatformTable table{client, address};
};

} // namespace

TEST_CASE_FIXTURE(PlatformTableFixture, "platformTable_moreRowsThanOneAnswerHolds_eachIsReadOnce")
{
    write(1201);
    const std::vector<TableRow> rows = scan(5000);
    REQUIRE(rows.size() == 1201);
    for (std::size_t i = 0; i < rows.size(); ++i)
        CHECK(rows[i].key == fmt::format("fleet/router/r{:04}", i));
    CHECK(scan(700).size() == 700);
    CHECK(scan(3).size() == 3);
}
