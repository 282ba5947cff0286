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

/// \brief A number that a decision was made on.
struct Figure
{
    std::string name; ///< With its unit, as `waiting_requests`.
    double value = 0;
};

/// \brief A failure, with what the caller has to know about it.
struct Error
{
    Reason reason = Reason::Internal;
    Verdict verdict = Verdict::NotRun; ///< Whether the request may have run.
    std::string detail = {}; ///< For a person; holds no secret.
    std::optional<Duration> retryAfter = {}; ///< When trying again makes sense, if known.
    std::string rule = {}; ///< The inventory rule that decided, as `rules.queue_sojourn`.
    std::vector<Figure> figures = {}; ///< What the rule was compared with.
};

/// \brief A value or an Error. Reading the wrong one ends the process rather than going on with
/// rubbish.
template<typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace catkinloft
