#pragma once

#include "Base/EntrySettings.h"
#include "Net/Timer.h"

#include <functional>
#include <memory>
#include <string>

namespace catkinloft {

class EventLoop;

/// \brief The task that notices when the settings file has changed, by SIGHUP or by looking.
///
/// A file that can't be read or has mistakes changes nothing: each mistake is logged, and what was
/// in force stays.
class SettingsWatch
{
public:
    struct Options
    {
        EventLoop &loop;
        std::string file; ///< Empty: there is none to watch.
        std::function<void(const EntrySettings &)> onChange;
    };

    explicit SettingsWatch(Options options);

    /// \brief Takes the present content for what is in force, and watches from now on.
    void start();

    /// \brief Looks at once.
    void check();

private:
    Options m_options;
    std::string m_text; ///< As last read.
    Timer m_timer;
};

} // namespace catkinloft
