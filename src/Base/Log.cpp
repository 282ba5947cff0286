#include "Base/Log.h"

#include "Base/Utf8.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace catkinloft {

namespace {

struct LogState
{
    std::string source = "catkinloft";
    LogLevel level = LogLevel::Info;
    Log::Sink sink;
};

LogState &state()
{
    static LogState instance;
    return instance;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

std::string valueText(const LogField::Value &value)
{
    if (const auto *text = std::get_if<std::string_view>(&value))
        return jsonQuoted(*text);
    if (const auto *flag = std::get_if<bool>(&value))
        return *flag ? "true" : "false";
    if (const auto *number = std::get_if<double>(&value))
        return fmt::format("{}", *number);
    return fmt::format("{}", std::get<std::int64_t>(value));
}

std::string fieldText(const LogField &it)
{
    return fmt::format(",{}:{}", jsonQuoted(it.name), valueText(it.value));
}

std::string timestamp()
{
    // Log lines are read by people, so they have the calendar time, also while tests use a
    // ManualClock.
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis);
}

} // namespace

void Log::setSource(std::string source)
{
    state().source = std::move(source);
}

void Log::setLevel(LogLevel level)
{
    state().level = level;
}

void Log::setSink(Sink sink)
{
    state().sink = std::move(sink);
}

void Log::write(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    if (level < state().level)
        return;
    const auto reason = std::find_if(fields.begin(), fields.end(),
                                     [](const LogField &it) { return it.name == "reason"; });
    std::string line = fmt::format(R"({{"time":"{}","event":{})", timestamp(), jsonQuoted(event));
    if (reason != fields.end())
        line += fieldText(*reason);
    line += fmt::format(R"(,"level":"{}","source":{})", levelName(level),
                        jsonQuoted(state().source));
    for (auto it = fields.begin(); it != fields.end(); ++it) {
        if (it != reason)
            line += fieldText(*it);
    }
    line += "}\n";
    if (state().sink)
        state().sink(level, line);
    else
        fmt::print(stderr, "{}", line);
}

std::string jsonQuoted(std::string_view text)
{
    std::string out = "\"";
    for (std::size_t i = 0; i < text.size();) {
        const std::size_t n = utf8SequenceLength(text.substr(i));
        if (n == 0) {
            out += "\\ufffd";
            ++i;
            continue;
        }
        const char c = text[i];
        if (n > 1)
            out += text.substr(i, n);
        else if (c == '"' || c == '\\')
            out += {'\\', c};
        else if (static_cast<unsigned char>(c) < 0x20)
            out += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
        else
            out += c;
        i += n;
    }
    return out + '"';
}

} // namespace catkinloft
