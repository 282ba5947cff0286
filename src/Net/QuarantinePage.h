#pragma once

#include "Decide/RequestQuarantine.h"

#include <span>
#include <string>

namespace catkinloft {

/// \returns the quarantined requests \a held as a JSON object, for operators.
std::string quarantinePage(std::span<const RequestQuarantine::Hold> held);

} // namespace catkinloft
