#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Writes one log line, `process_crashed`, when the process ends by a fatal signal, abort()
/// or an exception that nothing catches. The process then ends as it would without it.
///
/// A signal handler may interrupt any code, so it must neither allocate nor lock: what the line
/// states is stored here in advance.
class CrashHandler
{
public:
    /// \brief Log lines that are not written yet, in memory that doesn't move.
    struct Unwritten
    {
        std::atomic<const char *> data = nullptr;
        std::atomic<std::size_t> size = 0; ///< Zero while the lines are being moved.
    };

    struct Options
    {
        std::string_view source; ///< Name of this process, for the field `source`.
        std::string_view version;
        int fd = 1; ///< Descriptor of the log.
    };

    /// Why the process ends. The texts must be valid during the call only.
    struct Crash
    {
        std::string_view cause;
        std::string_view signal = {}; ///< Name of the signal, if one caused it.
        std::string_view exception = {}; ///< Type of the exception, if one caused it.
        std::string_view detail = {};
        int sender = 0; ///< Process that sent the signal; 0: none did.
        bool isFault = false; ///< An instruction caused the signal; the next two are known.
        std::uintptr_t address = 0; ///< Address whose access caused the signal.
        std::uintptr_t code = 0; ///< Address of the instruction.
    };

    /// \brief Handles fatal signals and std::terminate() from now on. A signal that has a handler
    /// already, such as that of a sanitizer, is left to it.
    /// \returns what could not be installed, separated by blanks. The rest is installed.
    static std::string install(const Options &options);

    /// \brief Sets the lines that are written before the line about the crash.
    /// \param unwritten must be valid until another one is set; null: none.
    static void setUnwritten(const Unwritten *unwritten) noexcept;

    static void setRequestsInProgress(std::size_t n) noexcept;

    /// \brief Names the callback that runs from now on, for the line; null: none.
    /// \param name a literal.
    /// \returns the name that it had before.
    static const char *exchangeCallback(const char *name) noexcept;

    /// \brief Writes the lines that are not written yet and the line about \a crash. Only the first
    /// call has an effect. Async-signal-safe.
    static void report(const Crash &crash) noexcept;
};

} // namespace catkinloft
