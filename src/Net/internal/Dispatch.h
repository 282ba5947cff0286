#pragma once

#include "Base/Log.h"

#include <exception>
#include <string_view>

namespace catkinloft::internal {

/// \brief Handles one message with \a handle, called from libevent.
///
/// The frames of libevent are C, so an exception that reaches them ends the process. A message that
/// no decoder expected must cost no more than that message.
template<typename Handle>
void dispatch(std::string_view source, const Handle &handle)
{
    try {
        handle();
    } catch (const std::exception &e) {
        Log::error("message_dropped", {{"source", source}, {"detail", e.what()}});
    }
}

} // namespace catkinloft::internal
