#pragma once

#include "Base/Settings.h"

#include <memory>

namespace catkinloft {

/// \brief The process of one entry VM: creates and connects the tasks and runs them until SIGTERM.
class RouterProcess
{
public:
    explicit RouterProcess(std::shared_ptr<const Settings> settings);
    ~RouterProcess();

    /// \brief Serves until SIGTERM or SIGINT and then drains.
    /// \returns 0, or 1 if an address can't be bound.
    int run();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
