#include "Decide/AnswerBuffers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <vector>

using namespace catkinloft;

namespace {

struct AnswerBuffersFixture
{
    static constexpr std::size_t Limit = 32'000;
    static constexpr std::size_t Step = 100; ///< Bytes that arrive at a time.

    /// \returns the number of answers of \a count that are given up when all grow without end.
    int growWithoutEnd(std::size_t count)
    {
        std::vector<std::unique_ptr<AnswerBuffers::Share>> answers;
        std::vector<std::size_t> sizes(count, 0);
        for (std::size_t i = 0; i < count; ++i)
            answers.push_back(std::make_unique<AnswerBuffers::Share>(buffers));
        int ended = 0;
        for (std::size_t n = 0; n < Limit; n += Step) {
            for (std::size_t i = 0; i < count; ++i) {
                if (!answers[i] || answers[i]->resize(sizes[i] += Step))
                    continue;
                answers[i].reset();
                ++ended;
            }
            highest = std::max(highest, buffers.used());
        }
        return ended;
    }

    AnswerBuffers buffers{Limit};
    std::size_t highest = 0; ///< Largest use so far.
};

} // namespace

// Guards against a process that is killed because many answers without end are buffered at a time.
TEST_CASE_FIXTURE(AnswerBuffersFixture, "answerBuffers_manyAnswersGrowWithoutEnd_sumIsBounded")
{
    for (const std::size_t count : {1, 2, 10, 100}) {
        CHECK(growWithoutEnd(count) == static_cast<int>(count));
        CHECK(highest <= Limit + count * Step);
        CHECK(buffers.used() == 0);
    }
}

// Guards against short answers that are given up because long ones take the memory.
TEST_CASE_FIXTURE(AnswerBuffersFixture, "answerBuffers_longAnswersTakeMost_shortOnesFit")
{
    std::vector<std::unique_ptr<AnswerBuffers::Share>> answers;
    for (int i = 0; i < 4; ++i) {
        answers.push_back(std::make_unique<AnswerBuffers::Share>(buffers));
        std::size_t size = Step;
        while (answers.back()->resize(size))
            size += Step;
        answers.back()->resize(size - Step); // As much as fits.
    }
    AnswerBuffers::Share brief(buffers);
    CHECK(brief.resize(Step));
}

TEST_CASE_FIXTURE(AnswerBuffersFixture, "answerBuffers_nothingElseIsBuffered_halfOfLimitFits")
{
    AnswerBuffers::Share answer(buffers);
    CHECK(answer.resize(Limit / 2));
    CHECK_FALSE(answer.resize(Limit / 2 + 1));
    CHECK(answer.resize(Step));
    CHECK(buffers.used() == Step);
}
