#pragma once

#include "ExecutionRecord.h"
#include "Standin.h"

#include <vector>

namespace catkinloft::standin {

/// \brief Simulates a plain service. It records every execution so that duplicates are detected.
class ServiceStandin final : public Standin
{
public:
    struct Options
    {
        EventLoop &loop;
        std::string name;
        Duration serviceTime; ///< From a request to its answer.
        int refuseEvery =
                0; ///< Every refuseEvery-th call is answered 503 and not executed; 0: none.
        bool recorded = true; ///< False for benchmarks, whose records would fill the memory.
        std::string recordFile = {}; ///< Executions are appended to it; empty: none.
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
