#pragma once

#include "PlatformStandin.h"

namespace catkinloft::standin {

/// \brief The rate-limited weight store: says what a version of a model consists of.
class WeightStandin final : public PlatformStandin
{
public:
    using PlatformStandin::PlatformStandin;

protected:
    bool isWrite(const HttpExchange &exchange) const override;
    Answer answer(const HttpExchange &exchange) override;
};

} // namespace catkinloft::standin
