#pragma once

#include <string_view>

namespace catkinloft {

/// \brief Whether the upstream may have executed a request.
///
/// It is reported to the caller with every answer. Therefore only a guarantee of the upstream may
/// change it towards NotRun.
enum class Verdict {
    NotRun, ///< No byte was sent to the upstream, or it guarantees that it executed nothing.
    MayHaveRun, ///< A byte may have been sent, and no complete answer was received.
    Ran, ///< A complete answer was received.
};

/// \returns the name on the wire: `not_run`, `may_have_run` or `ran`.
constexpr std::string_view toString(Verdict v)
{
    switch (v) {
    case Verdict::NotRun:
        return "not_run";
    case Verdict::MayHaveRun:
        return "may_have_run";
    case Verdict::Ran:
        return "ran";
    }
    return "may_have_run";
}

/// \returns the verdict on a request from the verdicts on two of its attempts: the one further from
/// NotRun.
constexpr Verdict combine(Verdict a, Verdict b)
{
    return a < b ? b : a;
}

} // namespace catkinloft
