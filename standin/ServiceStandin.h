#pragma once

#include "Standin.h"

#include <vector>

namespace catkinloft::standin {

/// \brief A plain service that records every execution, so that doubled ones are seen.
class ServiceStandin final : public Standin
{
public:
    struct Options
    {
        EventLoop &loop;
        std::string name;
        Duration serviceTime; ///< From the request to its answer.
    };

    explicit ServiceStandin(Options options);

    void handle(const HttpExchangePtr &exchange) override;

private:
    Options m_options;
    Json::Value m_executions{Json::arrayValue};
};

} // namespace catkinloft::standin
