#pragma once

#include "Standin.h"
#include "TcpLink.h"
#include "UdpRelay.h"

#include <list>
#include <memory>

struct evconnlistener;

namespace catkinloft::standin {

/// \brief Stands between two ends, passes TCP connections and UDP datagrams on and brings about
/// what goes wrong on the way. Driven over HTTP at an address of its own.
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

    /// \brief Answers `POST /v1/faults` and `GET /v1/faults`.
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
