#include "Net/internal/StatusLineCheck.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace catkinloft::internal {

namespace {

/// The status of a well-formed line ends within these bytes. The reason may make it longer.
constexpr std::size_t MaxStatusBytes = 64;

constexpr std::size_t StatusDigits = 3;
constexpr int Continue = 100;

} // namespace

std::optional<int> StatusLineCheck::statusOf(std::string_view head)
{
    std::string_view line = head.substr(0, head.find('\n'));
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    const std::size_t space = line.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    line.remove_prefix(space + 1);
    const std::string_view text = line.substr(0, line.find(' '));
    const bool isNumber = text.size() == StatusDigits && text.front() >= '1' && text.front() <= '5'
            && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (!isNumber)
        return std::nullopt;
    int out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

bool StatusLineCheck::feed(std::string_view bytes)
{
    for (const char c : bytes) {
        if (m_state == State::Done)
            break;
        if (m_state == State::StatusLine) {
            m_line += c;
            if ((c == '\n' || m_line.size() == MaxStatusBytes) && !endStatusLine())
                return false;
        } else if (c != '\n') {
            m_endsWithReturn = c == '\r';
            ++m_lineBytes;
        } else {
            const std::size_t emptyBytes = std::exchange(m_endsWithReturn, false) ? 1 : 0;
            if (std::exchange(m_lineBytes, 0) == emptyBytes)
                m_state = State::StatusLine;
        }
    }
    return true;
}

/// evhttp reads on after the head of this interim answer only.
bool StatusLineCheck::endStatusLine()
{
    const std::optional<int> status = statusOf(m_line);
    m_state = status == Continue ? State::InterimHead : State::Done;
    m_endsWithReturn = false;
    m_lineBytes = m_line.ends_with('\n') ? 0 : m_line.size();
    m_line.clear();
    return status.has_value();
}

} // namespace catkinloft::internal
