#include "Base/Settings.h"

#include <doctest/doctest.h>

using namespace catkinloft;
using namespace std::chrono_literals;

namespace {

struct YamlSectionFixture
{
    YamlProblems problems;

    YamlSection section(const std::string &text)
    {
        return {YAML::Load(text), "file.yaml", {}, problems};
    }
};

} // namespace

TEST_CASE_FIXTURE(YamlSectionFixture, "yamlSection_unknownKey_reportsKeyAndLine")
{
    YamlSection it = section("known: 1\nunknwon: 2\n");
    CHECK(it.integer("known", 0, 9, "apples") == 1);
    it.finish();
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].text() == "file.yaml:2: unknwon: is not a known key");
}

TEST_CASE_FIXTURE(YamlSectionFixture, "yamlSection_valueOutOfRange_reportsRangeAndUnit")
{
    YamlSection it = section("count: 12\n");
    it.integer("count", 0, 9, "apples");
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].text()
          == "file.yaml:1: count: expected a whole number of apples from 0 to 9, found '12'");
}

TEST_CASE_FIXTURE(YamlSectionFixture, "yamlSection_wrongTypes_reportsEach")
{
    YamlSection it = section("a: [1]\nb: maybe\nc: 5 parsecs\nd: 1.2.3.4\n");
    it.text("a");
    it.flag("b");
    it.duration("c", 1ms, 1h);
    it.address("d");
    CHECK(problems.size() == 4);
}

TEST_CASE("parseDuration_validAndInvalidTexts_acceptsOnlyValid")
{
    CHECK(parseDuration("250ms") == Duration(250ms));
    CHECK(parseDuration("4s") == Duration(4s));
    CHECK(formatDuration(90s) == "90s");
    for (const char *it : {"", "s", "-1s", "1", "1d", "99999999999999h"})
        CHECK_FALSE(parseDuration(it));
}

TEST_CASE("parseEndpoint_validAndInvalidAddresses_acceptsOnlyIpAndPort")
{
    CHECK(parseEndpoint("127.0.0.1:80")->port == 80);
    CHECK(parseEndpoint("[::1]:80")->host == "::1");
    for (const char *it : {"", "80", "host:80", "127.0.0.1:0", "127.0.0.1:99999", "::1:80"})
        CHECK_FALSE(parseEndpoint(it));
    CHECK_FALSE(parseEndpoint(std::string_view("127.0.0.1\0x:80", 14)));
}
