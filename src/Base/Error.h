#pragma once

#include "Base/Clock.h"
#include "Base/Reason.h"
#include "Base/Verdict.h"

#include <boost/outcome.hpp>

#include <optional>
#include <string>
#include <vector>

namespace catkinloft {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// \brief A named number that a decision was based on.
struct Figure
{
    std::string name; ///< Includes the unit, for example `waiting_requests`.
    double value = 0;
};

/// \brief A failure with everything that is reported to the caller.
struct Error
{
    Reason reason = Reason::Internal;
    Verdict verdict = Verdict::NotRun; ///< Whether the request may have run.
    std::string detail = {}; ///< Human-readable. Must not contain a secret.
    std::optional<Duration> retryAfter = {}; ///< When a retry may succeed, if known.
    std::string rule = {}; ///< Inventory rule that was applied, for example `rules.queue_sojourn`.
    std::vector<Figure> figures = {}; ///< Values that the rule was compared with.
};

/// \brief A value or an Error. Accessing the one that it does not hold terminates the process, so
/// that it does not continue with an invalid value.
template<typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace catkinloft
