/// \file
/// \brief Ends in the way that its argument names, after it has installed the product's handlers.
/// For tests of the log line that this leaves.

#include "Base/Error.h"
#include "Base/Log.h"
#include "Base/ManualClock.h"
#include "Base/Metrics.h"
#include "Net/CrashReporter.h"
#include "Net/internal/Dispatch.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <map>
#include <stdexcept>
#include <string>

#include <event2/event.h>
#include <sys/mman.h>

using namespace catkinloft;

namespace {

void throwException()
{
    throw std::out_of_range("position \"12\" of 7");
}

void readMissingValue()
{
    const Result<int> result = Error{.detail = "no value"};
    Log::info("read", {{"value", result.value()}});
}

void accessProtectedPage()
{
    constexpr std::size_t Bytes = 4096;
    void *page = mmap(nullptr, Bytes, PROT_NONE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    *static_cast<volatile char *>(page) = 'a';
}

/// Without sanitizers, which would report a null pointer and exit instead of accessing it.
__attribute__((no_sanitize("undefined"))) void storeTo(std::uintptr_t address)
{
    // NOLINTNEXTLINE(performance-no-int-to-ptr): the compiler must not know the address
    *reinterpret_cast<volatile char *>(address) = 'a';
}

void accessNullPointerInCallback()
{
    internal::dispatch("request", [] {
        volatile std::uintptr_t address = 0;
        storeTo(address);
    });
}

void copyToNullPointerInLibrary()
{
    // The compiler must not know the function.
    void *(*volatile copy)(void *, const void *, std::size_t) = &std::memcpy;
    const std::array<char, 4096> text{};
    copy(nullptr, text.data(), text.size());
}

/// \returns a value that depends on each of \a depth calls, so that none is optimized away.
int overflowStack(int depth) // NOLINT(misc-no-recursion)
{
    std::array<volatile char, 4096> frame{};
    frame[0] = static_cast<char>(depth);
    return depth == 0 ? 0 : overflowStack(depth - 1) + frame[0];
}

void overflowStack()
{
    constexpr int Depth = 1'000'000;
    Log::info("overflown", {{"sum", overflowStack(Depth)}});
}

void useUninitializedEvent()
{
    event_enable_debug_mode();
    event_base *base = event_base_new();
    event *ev = event_new(
            base, -1, 0, [](evutil_socket_t, short, void *) {}, nullptr);
    event_debug_unassign(ev);
    event_add(ev, nullptr);
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, void (*)()> ways = {{"exception", &throwException},
                                                    {"missing_value", &readMissingValue},
                                                    {"fault", &accessProtectedPage},
                                                    {"null_pointer", &accessNullPointerInCallback},
                                                    {"library", &copyToNullPointerInLibrary},
                                                    {"stack_overflow", &overflowStack},
                                                    {"libevent", &useUninitializedEvent}};
    const auto way = ways.find(argc == 2 ? argv[1] : "");
    if (way == ways.end())
        return 2;
    Metrics metrics;
    const CrashHandler::Unwritten unwritten{.data = "{\"event\":\"buffered\"}\n", .size = 21};
    const ManualClock clock;
    CrashReporter reporter{
            {.clock = clock, .metrics = metrics, .source = "crash", .unwritten = &unwritten}};
    reporter.install();
    way->second();
    return 0;
}
