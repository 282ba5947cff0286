#pragma once

#include "Base/Clock.h"
#include "Base/CrashHandler.h"

#include <string>

namespace catkinloft {

class Metrics;

/// \brief Lets operators see that this process ended by itself: by a log line when it does, and by
/// its start time in the metrics, which is later after a restart.
class CrashReporter
{
public:
    struct Options
    {
        const Clock &clock;
        Metrics &metrics;
        std::string source; ///< Name of this process in log lines.
        int fd = 1; ///< Descriptor of the log.
        /// Lines that are buffered for it; must outlive this object. Null: none are.
        const CrashHandler::Unwritten *unwritten = nullptr;
    };

    explicit CrashReporter(Options options);
    ~CrashReporter();
    CrashReporter(const CrashReporter &) = delete;
    CrashReporter &operator=(const CrashReporter &) = delete;

    /// \brief Installs the handlers. What the system refuses is logged and has no other effect.
    void install();

private:
    Options m_options;
};

} // namespace catkinloft
