#include "Cli/Command.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

using namespace catkinloft;

namespace {

std::string contentOf(const std::string &name)
{
    const std::ifstream in(std::string(CATKINLOFT_TEST_DATA) + "/../../" + name);
    REQUIRE(in);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

TEST_CASE("commands_manPageAndCompletion_nameEachOne")
{
    const std::string page = contentOf("docs/catkinloft.1");
    const std::string completion = contentOf("completion/catkinloft.bash");
    for (const Command &it : allCommands()) {
        const std::string name(it.name);
        CAPTURE(name);
        CHECK((page.find(".B " + name + "\n") != page.npos
               || page.find(".BI " + name + " ") != page.npos));
        const std::size_t at = completion.find(name);
        CHECK(at < completion.find("local flags"));
    }
}
