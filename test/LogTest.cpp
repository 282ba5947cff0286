#include "Base/Log.h"

#include <doctest/doctest.h>

#include <string>

using namespace catkinloft;

namespace {

struct CapturedLogFixture
{
    CapturedLogFixture()
    {
        Log::setSink([this](LogLevel, std::string_view it) { line = it; });
    }
    ~CapturedLogFixture() { Log::setSink({}); }

    std::string line;
};

} // namespace

TEST_CASE_FIXTURE(CapturedLogFixture, "log_allFieldTypes_writesOneJsonObject")
{
    // Guards against a field that refers to a temporary copy of its string. The string is too long
    // for the small-string buffer, so that the address sanitizer detects such a reference.
    const std::string text(64, 'x');
    Log::info("tested", {{"text", text}, {"flag", true}, {"count", 3}, {"ratio", 0.5}});
    CHECK(line.find("\"event\":\"tested\",\"level\":\"info\",") != std::string::npos);
    CHECK(line.ends_with(",\"text\":\"" + text + "\",\"flag\":true,\"count\":3,\"ratio\":0.5}\n"));
}

// Guards against lines that lose their cause when their reader truncates them.
TEST_CASE_FIXTURE(CapturedLogFixture, "log_fieldsWithReason_reasonFollowsTheEvent")
{
    Log::info("tested", {{"text", "t"}, {"reason", "not_ready"}, {"count", 3}});
    CHECK(line.starts_with("{\"time\":\""));
    CHECK(line.find(
                  "\",\"event\":\"tested\",\"reason\":\"not_ready\",\"level\":\"info\",\"source\":")
          != std::string::npos);
    CHECK(line.ends_with(",\"text\":\"t\",\"count\":3}\n"));
}

TEST_CASE("jsonQuoted_specialAndInvalidBytes_returnsValidJson")
{
    CHECK(jsonQuoted("a\"\\\n") == "\"a\\\"\\\\\\u000a\"");
    CHECK(jsonQuoted("\xff\xc3\xa9\xc3") == "\"\\ufffd\xc3\xa9\\ufffd\"");
}
