#pragma once

#include "Base/EntrySettings.h"
#include "Net/Timer.h"

#include <functional>
#include <memory>
#include <string>

namespace catkinloft {

class EventLoop;

/// \brief Detects changes of the settings file, on SIGHUP and by polling.
///
/// A file that can't be read or is invalid changes nothing: each mistake is logged, and the active
/// settings stay.
class SettingsWatch
{
public:
    struct Options
    {
        EventLoop &loop;
        std::string file; ///< Empty: no file is watched.
        std::function<void(const EntrySettings &)> onChange;
    };

    explicit SettingsWatch(Options options);

    /// \brief Starts to watch; the present content counts as the active settings.
    void start();

    /// \brief Checks the file immediately.
    void check();

private:
    Options m_options;
    std::string m_text; ///< Content that was read last.
    Timer m_timer;
};

} // namespace catkinloft
