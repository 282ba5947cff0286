#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloft::internal {

/// \brief Checks the status lines of an answer, those of interim answers included, as its bytes
/// arrive.
///
/// evhttp reads a status with atoi(), so it takes `099`, `1000` or `200x` for one.
class StatusLineCheck
{
public:
    /// \returns the status in the first line of \a head: three digits from 100 to 599 (RFC 9110,
    /// section 15); std::nullopt if it states none.
    static std::optional<int> statusOf(std::string_view head);

    /// \brief Reads the next bytes of the answer.
    /// \returns false if a status line states no status. Nothing may be read after that.
    bool feed(std::string_view bytes);

    /// \returns whether the status line of the final answer was read.
    bool isDone() const { return m_state == State::Done; }

private:
    enum class State { StatusLine, InterimHead, Done };

    bool endStatusLine();

    State m_state = State::StatusLine;
    std::string m_line; ///< The begin of the status line, without its end.
    std::size_t m_lineBytes = 0; ///< Of the line of an interim head, without its LF.
    bool m_endsWithReturn = false; ///< The last of them is a CR.
};

} // namespace catkinloft::internal
