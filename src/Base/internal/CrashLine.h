#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace catkinloft::internal {

/// \brief Formats a log line in a buffer of fixed size. All functions are async-signal-safe.
///
/// What doesn't fit is cut off, so that the line is always a complete JSON object.
class CrashLine
{
public:
    /// Lines of this size are written to a pipe in one piece.
    static constexpr std::size_t MaxBytes = 1536;
    static constexpr std::size_t MaxValueBytes = 256; ///< Of a text, after escaping.

    explicit CrashLine(std::chrono::sys_time<std::chrono::milliseconds> now);

    /// \brief Adds a field. Characters other than printable ASCII are replaced by `?`.
    void add(std::string_view name, std::string_view value);
    void add(std::string_view name, std::uint64_t value);
    void addHex(std::string_view name, std::uint64_t value);

    /// \returns the line with its end. Nothing may be added after that.
    std::string_view finish();

private:
    void append(std::string_view text);
    void appendNumber(std::uint64_t value, std::size_t minDigits = 1);
    void appendName(std::string_view name);

    std::array<char, MaxBytes> m_text;
    std::size_t m_size = 0;
};

} // namespace catkinloft::internal
