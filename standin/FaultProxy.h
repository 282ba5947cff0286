#pragma once

#include "Standin.h"
#include "TcpLink.h"
#include "UdpRelay.h"

#include <list>
#include <memory>

struct evconnlistener;

namespace catkinloft::standin {

/// \brief Forwards TCP connections and UDP datagrams to a target and injects network faults. It is
/// controlled by HTTP requests at a separate address.
class FaultProxy final : public Standin
{
public:
    struct Options
    {
        EventLoop &loop;
        std::string listen; ///< `ip:port`, TCP and UDP.
        std::string target; ///< `ip:port`.
    };

    explicit FaultProxy(Options options);
    ~FaultProxy() override;
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// \brief Answers `POST /v1/faults`, which sets faults, and `GET /v1/faults`, which reports the
    /// state of the proxy.
    void handle(const HttpExchangePtr &exchange) override;

private:
    void accepted(int fd);
    void set(const Json::Value &request);
    void applyToOpenLinks(const Json::Value &request);

    Options m_options;
    LinkFaults m_faults;
    evconnlistener *m_listener = nullptr;
    UdpRelay m_udp;
    std::list<std::unique_ptr<TcpLink>> m_links;
    int m_accepted = 0;
};

} // namespace catkinloft::standin
