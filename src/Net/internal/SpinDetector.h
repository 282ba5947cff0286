#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace catkinloft::internal {

/// \brief Detects that an event loop uses the processor without progress and never comes to rest.
///
/// Handles sockets and callbacks that stay ready although nothing is read, written or run, such as
/// a connection whose input nobody takes. They cost a whole core, while timers still run and the
/// process counts as healthy.
class SpinDetector
{
public:
    struct Usage
    {
        Duration processorTime = Duration::zero();
        std::uint64_t progress = 0; ///< Reads, writes, datagrams, timers and posted callbacks.
        bool hasRested = false; ///< No socket or callback was ready at some moment.
    };

    /// Processor time over which progress is compared. A single callback may take a large part of a
    /// second, such as decoding a long configuration.
    static constexpr Duration Window = std::chrono::seconds(1);

    /// Processor time for one unit of progress on average. Most units take well below a
    /// millisecond.
    static constexpr Duration MaxTimePerUnit = std::chrono::milliseconds(5);

    /// \brief Adds what was used since the last call.
    /// \returns the usage of a window that has ended, if it had too little progress.
    std::optional<Usage> add(const Usage &used)
    {
        m_window.processorTime += used.processorTime;
        m_window.progress += used.progress;
        m_window.hasRested = m_window.hasRested || used.hasRested;
        if (m_window.processorTime < Window)
            return std::nullopt;
        const Usage out = std::exchange(m_window, {});
        if (out.hasRested || out.processorTime < MaxTimePerUnit * out.progress)
            return std::nullopt;
        return out;
    }

private:
    Usage m_window;
};

} // namespace catkinloft::internal
