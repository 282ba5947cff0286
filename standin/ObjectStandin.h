#pragma once

#include "Standin.h"

namespace catkinloft::standin {

/// \brief The platform's object store: whole values by name.
class ObjectStandin final : public Standin
{
public:
    void handle(const HttpExchangePtr &exchange) override;

private:
    std::map<std::string, std::string> m_objects;
};

} // namespace catkinloft::standin
