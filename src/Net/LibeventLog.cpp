#include "Net/LibeventLog.h"

#include "Base/CrashHandler.h"
#include "Base/Log.h"
#include "Base/LogSampler.h"
#include "Net/internal/Dispatch.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string_view>

#include <event2/event.h>

namespace catkinloft {

namespace {

/// The last error, which explains the call of ended(). Stored without allocation, because memory
/// may be exhausted.
std::array<char, 256> lastError{};

void logged(int severity, const char *text)
{
    static LogSampler sampler;
    const std::string_view message(text);
    if (severity >= EVENT_LOG_ERR) {
        const std::size_t n = std::min(message.size(), lastError.size() - 1);
        std::copy_n(message.data(), n, lastError.begin());
        lastError.at(n) = '\0';
    }
    if (severity == EVENT_LOG_WARN && sampler.add())
        internal::dispatch("libevent", [&] {
            Log::warning("libevent_warning", {{"detail", message}, {"total", sampler.total()}});
        });
}

/// libevent relies on this not returning.
[[noreturn]] void ended(int)
{
    CrashHandler::report({.cause = "libevent", .detail = lastError.data()});
    std::abort();
}

} // namespace

void LibeventLog::install()
{
    event_set_log_callback(&logged);
    event_set_fatal_callback(&ended);
}

} // namespace catkinloft
