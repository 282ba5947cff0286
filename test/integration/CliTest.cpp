#include "fleet/Fleet.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <stdlib.h>

using namespace catkinloft;
using standin::ChildProcess;
using standin::Fleet;

namespace {

struct CommandLineFixture
{
    CommandLineFixture()
    {
        standin::Deployment small = standin::deploymentNamed("sofiyska");
        small.engines = 2;
        small.replicas = 1;
        small.routers = 2;
        fleet = std::make_unique<Fleet>(
                Fleet::Options{.deployment = small, .binaries = CATKINLOFT_BINARIES});
        fleet->start();
        setenv("CATKINLOFT_KEY", Fleet::operatorKey().c_str(), 1);
    }

    /// Runs a command against router 0 and stores what it printed in `output`.
    int run(std::vector<std::string> arguments)
    {
        const std::string log = fleet->folder() + "/command-" + std::to_string(++commands);
        arguments.insert(arguments.begin(),
                         {std::string(CATKINLOFT_BINARIES) + "/catkinloft",
                          "--router=" + fleet->routerAddress(0)});
        const int code = ChildProcess(arguments, log).wait();
        const std::ifstream in(log);
        std::ostringstream text;
        text << in.rdbuf();
        output = text.str();
        return code;
    }

    std::string write(const std::string &text) const
    {
        std::string path = fleet->folder() + "/changed.yaml";
        std::ofstream(path) << text;
        return path;
    }

    bool printed(const std::string &text) const { return output.find(text) != output.npos; }

    std::unique_ptr<Fleet> fleet;
    int commands = 0;
    std::string output;
};

} // namespace

TEST_CASE_FIXTURE(CommandLineFixture, "cli_applyHistoryRollback_makeNewRevisions")
{
    const std::string changed = fleet->inventory() + "rules: {load_bound: 1.5}\n";
    REQUIRE(run({"apply", write(changed)}) == 0);
    CHECK(printed("load_bound: 1.5"));
    CHECK(printed("\"revision\":2"));
    REQUIRE(run({"rollback", "1"}) == 0);
    CHECK(printed("\"revision\":3"));
    REQUIRE(run({"history"}) == 0);
    CHECK(printed("desk"));
    // The other router is listed once the two have received each other's heartbeats.
    CHECK(Fleet::waitFor([&] { return run({"status"}) == 0 && printed("router-1"); }));
    CHECK(printed("revision 3"));
}

TEST_CASE_FIXTURE(CommandLineFixture, "cli_sameChangeIdTwice_returnsTheFirstResult")
{
    const std::string path = write(fleet->inventory() + "rules: {load_bound: 1.5}\n");
    REQUIRE(run({"--change_id=one", "apply", path}) == 0);
    CHECK(printed("\"revision\":2"));
    REQUIRE(run({"--change_id=one", "apply", path}) == 0);
    CHECK(printed("\"revision\":2"));
}

TEST_CASE_FIXTURE(CommandLineFixture, "cli_invalidCommands_exitWithTheirCode")
{
    CHECK(run({"apply", write("engines: [{name: x}]\n")}) == 2);
    CHECK(printed("engines[0].model: is missing"));
    CHECK(run({"rollback", "x"}) == 2);
    CHECK(run({"rollback", "99"}) == 1);
    CHECK(run({"nonsense"}) == 2);
    CHECK(run({"explain", "rubbish"}) == 1);
    setenv("CATKINLOFT_KEY", "wrong", 1);
    CHECK(run({"status"}) == 1);
    CHECK(printed("operator_only"));
}

// Guards against --help that shows the flags library's own page, which names source files and no
// command.
TEST_CASE_FIXTURE(CommandLineFixture, "cli_help_listsCommandsAndFlagsOfTheProgram")
{
    REQUIRE(run({"--help"}) == 0);
    CHECK(printed("usage: catkinloft"));
    CHECK(printed("rollback REVISION"));
    CHECK(printed("--change_id"));
    CHECK_FALSE(printed(".cpp"));
    CHECK_FALSE(printed("--tryfromenv"));
    REQUIRE(run({"apply", "--help"}) == 0);
    CHECK(printed("usage: catkinloft [flags] apply INVENTORY"));
    CHECK_FALSE(printed("rollback REVISION"));
}
