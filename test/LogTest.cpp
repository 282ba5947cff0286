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
    CHECK(line.ends_with("\"event\":\"tested\",\"text\":\"" + text
                         + "\",\"flag\":true,\"count\":3,\"ratio\":0.5}\n"));
}

TEST_CASE("jsonQuoted_specialAndInvalidBytes_returnsValidJson")
{
    CHECK(jsonQuoted("a\"\\\n") == "\"a\\\"\\\\\\u000a\"");
    CHECK(jsonQuoted("\xff\xc3\xa9\xc3") == "\"\\ufffd\xc3\xa9\\ufffd\"");
}
