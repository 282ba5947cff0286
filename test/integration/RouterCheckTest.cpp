#include "../../soak/RouterCheck.h"
#include "fleet/ChildProcess.h"

#include <csignal>
#include <thread>

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace catkinloft::soak;
using namespace std::chrono_literals;
using standin::ChildProcess;

namespace {

/// The history of a run and what is wrong with it.
struct RouterCheckFixture
{
    RouterCheckFixture() { history.startedAt = start; }

    std::vector<std::string> broken() const
    {
        std::vector<std::string> out;
        const auto add = [&](std::string it) { out.push_back(std::move(it)); };
        checkRouters(history, add);
        return out;
    }

    WallTime start{1000s};
    RunHistory history;
};

std::optional<int> unrequestedEndOf(const std::string &script, int signal)
{
    ChildProcess it({"/bin/sh", "-c", script}, {});
    if (signal == SIGTERM) // The shell needs time until its trap is set.
        std::this_thread::sleep_for(200ms);
    if (signal != 0)
        it.signal(signal);
    it.wait();
    return it.unrequestedEnd();
}

} // namespace

// Guards against a soak that takes an end of a process by itself for one that the run has caused.
TEST_CASE("childProcess_ended_isUnrequestedUnlessItsSignalExplainsIt")
{
    CHECK(unrequestedEndOf("exit 3", 0) == 3);
    CHECK(unrequestedEndOf("exit 0", 0) == 0);
    CHECK(unrequestedEndOf("kill -SEGV $$", 0) == -SIGSEGV);
    CHECK(unrequestedEndOf("kill -KILL $$", 0) == -SIGKILL);
    CHECK(unrequestedEndOf("sleep 9", SIGKILL) == std::nullopt);
    CHECK(unrequestedEndOf("exec sleep 9", SIGTERM) == std::nullopt);
    CHECK(unrequestedEndOf("trap 'exit 0' TERM; while :; do sleep 0.01; done", SIGTERM)
          == std::nullopt);
    CHECK(unrequestedEndOf("trap 'exit 1' TERM; while :; do sleep 0.01; done", SIGTERM) == 1);
    CHECK(unrequestedEndOf("trap 'kill -ABRT $$' TERM; while :; do sleep 0.01; done", SIGTERM)
          == -SIGABRT);
    ChildProcess running({"/bin/sleep", "9"}, {});
    CHECK(running.unrequestedEnd() == std::nullopt);
}

// Guards against a soak that passes although a router has ended by itself.
TEST_CASE_FIXTURE(RouterCheckFixture, "routerCheck_routerEndedByItself_lineNamesSecondAndSignal")
{
    history.routerExits = {{.router = 2, .at = start + 3250ms, .status = -SIGSEGV},
                           {.router = 0, .at = start + 5s, .status = 1}};
    const std::vector<std::string> lines = broken();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0] == "router 2 ended by itself at 3.250 s: signal 11 (Segmentation fault)");
    CHECK(lines[1] == "router 0 ended by itself at 5.000 s: exit status 1");
}
