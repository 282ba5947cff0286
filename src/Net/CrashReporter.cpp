#include "Net/CrashReporter.h"

#include "Base/Log.h"
#include "Base/Metrics.h"
#include "Base/Version.h"
#include "Net/LibeventLog.h"
#include "Net/internal/Dispatch.h"

#include <utility>

namespace catkinloft {

CrashReporter::CrashReporter(Options options) : m_options(std::move(options))
{
    m_options.metrics.set("catkinloft_start_time_seconds",
                          toSeconds(m_options.clock.wallNow().time_since_epoch()));
    m_options.metrics.addCollector([](Metrics &it) {
        it.set("catkinloft_messages_dropped", static_cast<double>(internal::droppedMessages()));
    });
}

CrashReporter::~CrashReporter()
{
    CrashHandler::setUnwritten(nullptr);
}

void CrashReporter::install()
{
    CrashHandler::setUnwritten(m_options.unwritten);
    const std::string failed = CrashHandler::install(
            {.source = m_options.source, .version = Version, .fd = m_options.fd});
    if (!failed.empty())
        Log::warning("crash_handler_incomplete", {{"not_installed", failed}});
    LibeventLog::install();
}

} // namespace catkinloft
