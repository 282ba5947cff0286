#pragma once

#include "Base/Clock.h"

#include <functional>
#include <memory>

namespace catkinloft {

class EventLoop;

/// \brief A timer owned by a task; destroying it cancels it.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// \brief Fires once after \a delay; replaces an earlier start.
    void start(Duration delay);

    /// \brief Fires every \a interval until stop().
    void startRepeating(Duration interval);

    void stop();

    /// \returns whether the timer is running.
    bool isPending() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
