#pragma once

#include "PlatformStandin.h"

namespace catkinloft::standin {

/// \brief The platform's object store: whole values by name.
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
