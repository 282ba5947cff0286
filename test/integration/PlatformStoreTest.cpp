#include "platform/PlatformStore.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "fleet/ChildProcess.h"
#include "fleet/Fleet.h"
#include "fleet/PortAllocator.h"

#include <doctest/doctest.h>

#include <optional>

#include <fmt/format.h>

using namespace catkinloft;
using namespace std::chrono_literals;
using standin::ChildProcess;
using standin::Fleet;

namespace {

/// A PlatformStore connected to a stand-in of the platform's row store.
struct PlatformStoreFixture
{
    PlatformStoreFixture()
    {
        REQUIRE(Fleet::waitFor([this] {
            return bool(Fleet::fetch({.address = address, .target = "/v1/rows-get?table=none"}));
        }));
    }

    void asOperator(const std::string &body)
    {
        REQUIRE(Fleet::fetch(
                {.address = address, .method = "POST", .target = "/v1/operator", .body = body}));
    }

    /// Evacuates \a domain, which increases the version of the store.
    void evacuate(const std::string &domain)
    {
        asOperator(fmt::format(R"({{"table":"op","key":"evacuate/{}","value":"{{}}"}})", domain));
    }

    ConfigRead read()
    {
        store.readConfig(keep());
        return take();
    }

    ConfigRead watch(const StorePosition &position)
    {
        store.watchConfig(position, 0ms, keep());
        return take();
    }

    std::string address = fmt::format("127.0.0.1:{}", standin::freePorts(1).front());
    ChildProcess process{{std::string(CATKINLOFT_BINARIES) + "/catkinloft-standin",
                          "--listen=" + address, "rowstore"},
                         ""};
    EventLoop loop;
    HttpClient client{loop};
    platform::PlatformStore store{client, address};

private:
    FleetStore::Callback<ConfigRead> keep()
    {
        return [this](const Result<ConfigRead> &it) {
            m_answer = it;
            loop.stop();
        };
    }

    ConfigRead take()
    {
        loop.run();
        REQUIRE(m_answer);
        REQUIRE(*m_answer);
        return m_answer->value();
    }

    std::optional<Result<ConfigRead>> m_answer;
};

} // namespace

// Guards against missing changes for good: after a restore the store may have assigned the version
// of the cursor again, and then it does not answer 410.
TEST_CASE_FIXTURE(PlatformStoreFixture, "platformStore_versionAssignedAgain_historyIsLost")
{
    asOperator(R"({"take_copy":true})");
    evacuate("lost");
    const StorePosition before = read().position;
    asOperator(R"({"restore_copy":true})");
    evacuate("a");
    evacuate("b");
    CHECK(watch(before).historyLost);
    const ConfigRead after = read();
    CHECK(after.position > before);
    CHECK(after.position.version > before.version);
    CHECK(after.evacuations.size() == 2);
    CHECK_FALSE(watch(after.position).historyLost);
}

TEST_CASE_FIXTURE(PlatformStoreFixture, "platformStore_versionOfTheCursorIsGone_historyIsLost")
{
    asOperator(R"({"take_copy":true})");
    evacuate("lost");
    const StorePosition before = read().position;
    asOperator(R"({"restore_copy":true})");
    CHECK(watch(before).historyLost);
    CHECK(read().position > before);
    CHECK(read().position.version < before.version);
}
