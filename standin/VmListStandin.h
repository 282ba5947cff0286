#pragma once

#include "Standin.h"

namespace catkinloft::standin {

/// \brief Simulates the platform's list of VMs. Changes become visible after a lag.
class VmListStandin final : public Standin
{
public:
    VmListStandin(EventLoop &loop, Duration lag);

    void handle(const HttpExchangePtr &exchange) override;

private:
    EventLoop &m_loop;
    Duration m_lag;
    Json::Value m_visible;
};

} // namespace catkinloft::standin
