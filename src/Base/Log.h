#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace catkinloft {

enum class LogLevel { Debug, Info, Warning, Error };

/// \brief One named value of a log line.
struct LogField
{
    using Value = std::variant<std::int64_t, double, bool, std::string_view>;

    template<typename T>
    LogField(std::string_view fieldName, const T &fieldValue)
        : name(fieldName), value(convert(fieldValue))
    { }

    std::string_view name;
    Value value;

private:
    template<typename T>
    static Value convert(const T &v)
    {
        if constexpr (std::is_same_v<T, bool>)
            return v;
        else if constexpr (std::is_integral_v<T>)
            return static_cast<std::int64_t>(v);
        else if constexpr (std::is_floating_point_v<T>)
            return static_cast<double>(v);
        else
            return std::string_view(v);
    }
};

/// \brief Writes JSON objects to standard error, a line each. Time, event and reason come first.
class Log
{
public:
    using Sink = std::function<void(LogLevel level, std::string_view line)>;

    /// \param source name of this process, for the field `source`.
    static void setSource(std::string source);

    /// \param level lines of a lower level are discarded.
    static void setLevel(LogLevel level);

    /// \brief Passes lines to \a sink instead of standard error. An empty sink restores standard
    /// error.
    static void setSink(Sink sink);

    /// \param event short name of the event in snake_case. Operators' tools match it.
    static void write(LogLevel level, std::string_view event, std::span<const LogField> fields);

    static void info(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        write(LogLevel::Info, event, std::span(fields.begin(), fields.size()));
    }
    static void warning(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        write(LogLevel::Warning, event, std::span(fields.begin(), fields.size()));
    }
    static void error(std::string_view event, std::initializer_list<LogField> fields = {})
    {
        write(LogLevel::Error, event, std::span(fields.begin(), fields.size()));
    }
};

/// \returns \a text as a quoted JSON string. Bytes that are not valid UTF-8 become U+FFFD.
std::string jsonQuoted(std::string_view text);

} // namespace catkinloft
