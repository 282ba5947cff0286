#pragma once

#include "PlatformStandin.h"

namespace catkinloft::standin {

/// \brief Simulates the platform's object store, which maps names to values.
class ObjectStandin final : public PlatformStandin
{
public:
    using PlatformStandin::PlatformStandin;

protected:
    bool isWrite(const HttpExchange &exchange) const override;
    Answer answer(const HttpExchange &exchange) override;

private:
    std::map<std::string, std::string> m_objects;
};

} // namespace catkinloft::standin
