#pragma once

#include "ExecutionRecord.h"
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
        int refuseEvery = 0; ///< Every so many calls get a 503 and do nothing; 0: none.
        bool recorded = true; ///< Off for benches, which would fill the memory.
        std::string recordFile = {}; ///< Executions are added to it; empty: nowhere.
    };

    explicit ServiceStandin(Options options);

    void handle(const HttpExchangePtr &exchange) override;

private:
    void execute(const HttpExchangePtr &exchange);

    Options m_options;
    int m_calls = 0;
    Json::Value m_executions{Json::arrayValue};
    ExecutionRecord m_record;
};

} // namespace catkinloft::standin
