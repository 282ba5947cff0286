#pragma once

#include <string_view>

namespace catkinloft {

constexpr std::string_view Version = "0.1.0";

} // namespace catkinloft
