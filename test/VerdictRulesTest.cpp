#include "Request/VerdictRules.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include <fmt/format.h>

using namespace catkinloft;

TEST_CASE("verdictRules_designPage_containsTheSameTable")
{
    std::ifstream in(CATKINLOFT_SOURCES "/docs/design/requests.md");
    std::ostringstream page;
    page << in.rdbuf();
    for (const VerdictRule &it : VerdictTable) {
        const std::string row =
                fmt::format("| {} | {} | {} | {} |", toString(it.path), toString(it.repeatability),
                            toString(it.verdict), it.mayRetry ? "yes" : "no");
        CHECK_MESSAGE(page.str().find(row) != std::string::npos, row);
    }
}

TEST_CASE("verdictRules_everyRow_retriesOnlyIfIdempotentOrNotRun")
{
    for (const VerdictRule &it : VerdictTable) {
        CAPTURE(toString(it.path));
        if (it.mayRetry && it.repeatability != Repeatability::Idempotent)
            CHECK((it.verdict == Verdict::NotRun));
        CHECK(!(it.mayRetry && it.repeatability == Repeatability::Unkeyed));
        CHECK(&verdictRule(it.path, it.repeatability) == &it);
    }
}

TEST_CASE("errorPathOf_errorsOfAnAttempt_findsThePath")
{
    const Error refused{.reason = Reason::UpstreamUnreachable};
    const Error silent{.reason = Reason::UpstreamTimeout, .verdict = Verdict::MayHaveRun};
    const Error mismatch{.reason = Reason::AnswerMismatch, .verdict = Verdict::MayHaveRun};
    CHECK((errorPathOf(refused, false) == ErrorPath::ConnectFailed));
    CHECK((errorPathOf(silent, false) == ErrorPath::SilentBeforeAnswer));
    CHECK((errorPathOf(mismatch, false) == ErrorPath::AnswerOfAnother));
    CHECK((errorPathOf(silent, true) == ErrorPath::StreamInterrupted));
}
