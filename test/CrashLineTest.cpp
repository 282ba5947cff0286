#include "Base/internal/CrashLine.h"

#include "Base/Json.h"

#include <doctest/doctest.h>

#include <limits>
#include <string>

using namespace catkinloft;
using namespace std::chrono_literals;
using internal::CrashLine;

namespace {

/// 2026-02-28T23:59:58.007Z
constexpr std::chrono::sys_time<std::chrono::milliseconds> At(1'772'323'198'007ms);

} // namespace

// Guards against a line about a crash that tools for the other log lines can't read.
TEST_CASE("crashLine_allKindsOfFields_isOneJsonObjectWithTheTimeFirst")
{
    CrashLine line(At);
    line.add("event", "process_crashed");
    line.add("detail", "a \"quoted\" \\ line\nwith \xc3\xa9");
    line.add("requests_in_progress", 0);
    line.add("largest", std::numeric_limits<std::uint64_t>::max());
    line.addHex("address", 0xdead);
    line.addHex("null", 0);
    CHECK(line.finish()
          == R"({"time":"2026-02-28T23:59:58.007Z","event":"process_crashed",)"
             R"("detail":"a \"quoted\" \\ line?with ??","requests_in_progress":0,)"
             R"("largest":18446744073709551615,"address":"0xdead","null":"0x0"})"
             "\n");
}

// Guards against a cut within an escape sequence or without the closing brace, which would make the
// line unreadable, and against a write beyond the buffer.
TEST_CASE("crashLine_moreThanFits_isCutToACompleteObject")
{
    CrashLine line(At);
    for (int i = 0; i < 20; ++i) {
        line.add("detail" + std::to_string(i), std::string(300 + static_cast<std::size_t>(i), '"'));
        line.add("n" + std::to_string(i), std::numeric_limits<std::uint64_t>::max());
    }
    const std::string text(line.finish());
    CHECK(text.size() <= CrashLine::MaxBytes);
    CHECK(text.ends_with("}\n"));
    const auto root = parseJsonObject(text);
    REQUIRE(root);
    CHECK(root.value()["detail0"].asString() == std::string(CrashLine::MaxValueBytes / 2, '"'));
}
