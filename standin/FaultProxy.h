#pragma once

#include "Standin.h"
#include "TcpLink.h"
#include "UdpRelay.h"

#include <cstdint>
#include <list>
#include <memory>
#include <set>

struct evconnlistener;

namespace catkinloft::standin {

/// \brief Forwards TCP connections and UDP datagrams to a target and injects network faults. It is
/// controlled by HTTP requests at a separate address.
///
/// Clients at the IPs in `partition`.`sources` are partitioned from the target. With `how` = `drop`
/// their packets are dropped: connections stall and new ones are not established. With `reset`
/// connections are closed, and new ones are accepted and then closed. With `refuse_new` open
/// connections live on and new ones are reset. With `accept_silent` open connections stall, and new
/// ones are accepted, stay open and carry nothing, even after the partition has ended.
///
/// Between clients at the IPs in `stall`.`sources` and the target all packets are lost until the
/// next `stall`: new connections are not established, and open ones deliver later what was sent
/// meanwhile, even if the client has closed them.
///
/// With `endless_answer` the proxy answers each request itself, with `begin` and then `repeated`
/// until the client closes the connection; with `partial_answer` it answers with that text and
/// closes the connection.
///
/// With `copy_refusals` the share `share` of the server's refusals (421, or any status with
/// X-Not-Executed) is sent twice: the copy goes out in front of the next answer on the same
/// connection, or `after_ms` milliseconds after the refusal if that is earlier and not 0.
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
    enum class PartitionKind : std::uint8_t { None, Drop, Reset, RefuseNew, AcceptSilent };
    struct Link
    {
        std::uint32_t source; ///< IP of the client, in network byte order.
        std::unique_ptr<TcpLink> link;
    };

    void accepted(int fd, std::uint32_t source);
    void setPartition(const Json::Value &partition);
    void setStalled(const Json::Value &stall);
    void filterSources();
    bool isPartitioned(std::uint32_t source) const { return m_partitioned.contains(source); }
    void set(const Json::Value &request);
    void applyToOpenLinks(const Json::Value &request);

    Options m_options;
    LinkFaults m_faults;
    evconnlistener *m_listener = nullptr;
    UdpRelay m_udp;
    std::list<Link> m_links;
    PartitionKind m_partition = PartitionKind::None;
    std::set<std::uint32_t> m_partitioned; ///< IPs in network byte order.
    std::set<std::uint32_t> m_stalled; ///< IPs in network byte order.
    int m_accepted = 0;
};

} // namespace catkinloft::standin
