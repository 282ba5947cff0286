#pragma once

#include "PlatformStandin.h"

namespace catkinloft::standin {

/// \brief Simulates the rate-limited weight store, which describes the versions of models.
class WeightStandin final : public PlatformStandin
{
public:
    using PlatformStandin::PlatformStandin;

protected:
    bool isWrite(const HttpExchange &exchange) const override;
    Answer answer(const HttpExchange &exchange) override;
};

} // namespace catkinloft::standin
