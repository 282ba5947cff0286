#pragma once

namespace catkinloft {

/// \brief Writes warnings and errors of libevent as log lines, `libevent_warning`.
///
/// libevent ends the process when one of its assertions fails or it can't go on otherwise. Its
/// message is then part of the line `process_crashed`. \sa CrashHandler
class LibeventLog
{
public:
    static void install();
};

} // namespace catkinloft
