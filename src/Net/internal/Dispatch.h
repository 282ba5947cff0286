#pragma once

#include "Base/CrashHandler.h"

#include <cstdint>
#include <exception>
#include <string_view>

namespace catkinloft::internal {

/// \brief Logs that handling a message of \a source failed, at the first failures each time. Counts
/// all of them.
void noteDropped(std::string_view source, std::string_view detail) noexcept;

/// \returns the number of calls of dispatch() in this process that failed.
std::uint64_t droppedMessages() noexcept;

/// \brief Names the callback that runs, for the line about a crash, until it is destroyed.
class CallbackName
{
public:
    explicit CallbackName(std::string_view literal)
        : m_outer(CrashHandler::exchangeCallback(literal.data()))
    { }
    ~CallbackName() { CrashHandler::exchangeCallback(m_outer); }
    CallbackName(const CallbackName &) = delete;
    CallbackName &operator=(const CallbackName &) = delete;

private:
    const char *m_outer;
};

/// \brief Handles one message with \a handle, called from libevent.
///
/// The frames of libevent are C, so an exception that reaches them ends the process. A message that
/// no decoder expected must cost no more than that message. Each callback that is registered with a
/// C library runs its code through this, unless it only assigns.
/// \param source a literal; failures are counted for each.
/// \returns whether \a handle returned without an exception.
template<typename Handle>
bool dispatch(std::string_view source, const Handle &handle) noexcept
{
    const CallbackName name(source);
    try {
        handle();
        return true;
    } catch (const std::exception &e) {
        noteDropped(source, e.what());
    } catch (...) {
        noteDropped(source, "an exception of unknown type");
    }
    return false;
}

} // namespace catkinloft::internal
