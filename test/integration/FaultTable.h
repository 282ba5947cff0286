#pragma once

#include "fleet/LoadDriver.h"

#include <functional>
#include <span>
#include <string_view>

namespace catkinloft::test {

/// \brief A fault that a test injects into a running fleet and removes again.
struct Fault
{
    std::string_view name;
    std::string_view location; ///< Faults with the same location are never injected together.
    std::function<void(standin::Fleet &, standin::LoadDriver &)> begin;
    std::function<void(standin::Fleet &)> end;
};

/// \returns all faults that the fleet has to tolerate, alone and in pairs.
std::span<const Fault> faultTable();

} // namespace catkinloft::test
