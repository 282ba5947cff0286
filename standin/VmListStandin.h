#pragma once

#include "Standin.h"

namespace catkinloft::standin {

/// \brief The platform's list of VMs. A change put in is shown only after a lag.
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
