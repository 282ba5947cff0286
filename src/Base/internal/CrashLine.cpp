#include "Base/internal/CrashLine.h"

#include <algorithm>

namespace catkinloft::internal {

namespace {

constexpr std::string_view End = "}\n";

/// Longest field besides its text: name, separators, quotes or a number.
constexpr std::size_t MaxFieldOverhead = 64;

} // namespace

CrashLine::CrashLine(std::chrono::sys_time<std::chrono::milliseconds> now)
{
    using namespace std::chrono;
    const auto day = floor<days>(now);
    const year_month_day date(day);
    const hh_mm_ss time(now - day);
    append(R"({"time":")");
    appendNumber(static_cast<std::uint64_t>(std::max(0, static_cast<int>(date.year()))), 4);
    append("-");
    appendNumber(static_cast<unsigned>(date.month()), 2);
    append("-");
    appendNumber(static_cast<unsigned>(date.day()), 2);
    append("T");
    appendNumber(static_cast<std::uint64_t>(time.hours().count()), 2);
    append(":");
    appendNumber(static_cast<std::uint64_t>(time.minutes().count()), 2);
    append(":");
    appendNumber(static_cast<std::uint64_t>(time.seconds().count()), 2);
    append(".");
    appendNumber(static_cast<std::uint64_t>(time.subseconds().count()), 3);
    append("Z\"");
}

void CrashLine::add(std::string_view name, std::string_view value)
{
    if (m_size + MaxFieldOverhead + MaxValueBytes + End.size() > MaxBytes)
        return;
    appendName(name);
    append("\"");
    const std::size_t limit = m_size + MaxValueBytes - 1;
    for (const char c : value) {
        if (m_size >= limit)
            break;
        if (c == '"' || c == '\\')
            append("\\");
        append(c >= ' ' && c <= '~' ? std::string_view(&c, 1) : std::string_view("?"));
    }
    append("\"");
}

void CrashLine::add(std::string_view name, std::uint64_t value)
{
    if (m_size + MaxFieldOverhead + End.size() > MaxBytes)
        return;
    appendName(name);
    appendNumber(value);
}

void CrashLine::addHex(std::string_view name, std::uint64_t value)
{
    std::array<char, 18> text{};
    std::size_t at = text.size();
    do {
        text.at(--at) = "0123456789abcdef"[value % 16];
        value /= 16;
    } while (value != 0);
    text.at(--at) = 'x';
    text.at(--at) = '0';
    add(name, std::string_view(text.data() + at, text.size() - at));
}

std::string_view CrashLine::finish()
{
    append(End);
    return {m_text.data(), m_size};
}

void CrashLine::append(std::string_view text)
{
    const std::size_t n = std::min(text.size(), m_text.size() - m_size);
    std::copy_n(text.data(), n, m_text.data() + m_size);
    m_size += n;
}

void CrashLine::appendNumber(std::uint64_t value, std::size_t minDigits)
{
    std::array<char, 20> digits{};
    std::size_t at = digits.size();
    do {
        digits.at(--at) = static_cast<char>('0' + value % 10);
        value /= 10;
    } while (value != 0 || digits.size() - at < minDigits);
    append({digits.data() + at, digits.size() - at});
}

void CrashLine::appendName(std::string_view name)
{
    append(",\"");
    append(name);
    append("\":");
}

} // namespace catkinloft::internal
