#pragma once

#include <string_view>

namespace catkinloft {

/// \brief Whether the upstream may have executed a request.
///
/// A caller is told this with every answer, so it is only ever moved towards NotRun by the
/// upstream's own contract.
enum class Verdict {
    NotRun, ///< No byte left for the upstream, or its contract says that it did nothing.
    MayHaveRun, ///< A byte may have left and no complete answer came back.
    Ran, ///< A complete answer came back.
};

/// \returns the name used on the wire: `not_run`, `may_have_run` or `ran`.
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

/// \returns the more cautious of two verdicts about attempts at one request.
constexpr Verdict combine(Verdict a, Verdict b)
{
    return a < b ? b : a;
}

} // namespace catkinloft
