#include "Net/LogWriter.h"
#include "Net/EventLoop.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

#include <fcntl.h>
#include <unistd.h>

using namespace catkinloft;

namespace {

struct LogWriterFixture
{
    LogWriterFixture() { REQUIRE(pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) == 0); }
    ~LogWriterFixture()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string readAll()
    {
        std::string out;
        std::array<char, 4096> buf{};
        for (ssize_t n = 0; (n = read(ends[0], buf.data(), buf.size())) > 0;)
            out.append(buf.data(), static_cast<std::size_t>(n));
        return out;
    }

    std::string_view unwritten(const LogWriter &writer) const
    {
        return {writer.unwritten().data, writer.unwritten().size};
    }

    std::array<int, 2> ends{};
    EventLoop loop;
};

} // namespace

// Guards against lines that are lost or written twice when the process crashes, and against a
// handler that reads memory which the buffer no longer uses.
TEST_CASE_FIXTURE(LogWriterFixture, "logWriter_anyBufferState_unwrittenIsWhatThePipeDidNotGet")
{
    const std::string line = std::string(99, 'a') + '\n';
    LogWriter writer({.loop = loop, .fd = ends[1], .capacity = 200'000});
    CHECK(unwritten(writer).empty());
    std::string all;
    for (int i = 0; i < 1000; ++i) {
        writer.write(LogLevel::Error, line);
        all += line;
    }
    const char *data = unwritten(writer).data();
    CHECK((unwritten(writer) == all));
    writer.flush();
    CHECK_FALSE(unwritten(writer).empty());
    CHECK((readAll() + std::string(unwritten(writer)) == all));
    writer.flush();
    CHECK(unwritten(writer).empty());
    writer.write(LogLevel::Error, line);
    CHECK(unwritten(writer) == line);
    CHECK(unwritten(writer).data() == data);
}
