#pragma once

#include "Decide/RejectionLimit.h"

#include <memory>
#include <span>
#include <string>

namespace catkinloft {

/// \returns which of the services with \a limits are brittle, as seen by \a router, as a JSON
/// object for operators.
std::string brittlePage(const std::string &router,
                        std::span<const std::shared_ptr<RejectionLimit>> limits);

} // namespace catkinloft
