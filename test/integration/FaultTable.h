#pragma once

#include "fleet/LoadDriver.h"

#include <functional>
#include <span>
#include <string_view>

namespace catkinloft::test {

/// \brief One fault that tests bring about and end again.
struct Fault
{
    std::string_view name;
    std::string_view location; ///< Two faults of one place can't coincide.
    std::function<void(standin::Fleet &, standin::LoadDriver &)> begin;
    std::function<void(standin::Fleet &)> end;
};

/// \returns the faults of the brief.
std::span<const Fault> faultTable();

} // namespace catkinloft::test
