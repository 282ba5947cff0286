#include "FaultProxy.h"

#include "SocketAddress.h"

#include <stdexcept>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

namespace catkinloft::standin {

FaultProxy::FaultProxy(Options options)
    : m_options(std::move(options)), m_udp({.loop = m_options.loop,
                                            .faults = m_faults,
                                            .listen = m_options.listen,
                                            .target = m_options.target})
{
    const sockaddr_in address = socketAddress(m_options.listen);
    m_listener = evconnlistener_new_bind(
            m_options.loop.base(),
            [](evconnlistener *, int fd, sockaddr *from, int, void *arg) {
                static_cast<FaultProxy *>(arg)->accepted(
                        fd, reinterpret_cast<const sockaddr_in *>(from)->sin_addr.s_addr);
            },
            this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
            reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (!m_listener)
        throw std::runtime_error("cannot listen on TCP address " + m_options.listen);
}

FaultProxy::~FaultProxy()
{
    m_links.clear();
    evconnlistener_free(m_listener);
}

void FaultProxy::accepted(int fd, std::uint32_t source)
{
    ++m_accepted;
    const bool isSilent = isPartitioned(source) && m_partition == PartitionKind::AcceptSilent;
    if (isPartitioned(source) && m_partition != PartitionKind::Drop && !isSilent) {
        const linger reset{.l_onoff = 1, .l_linger = 0};
        if (m_partition == PartitionKind::RefuseNew)
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        evutil_closesocket(fd);
        return;
    }
    if (m_faults.refuse) {
        evutil_closesocket(fd);
        return;
    }
    const auto closed = [this](TcpLink *gone) {
        m_links.remove_if([gone](const Link &it) { return it.link.get() == gone; });
    };
    m_links.push_back(
            {.source = source,
             .link = std::make_unique<TcpLink>(TcpLink::Options{.loop = m_options.loop,
                                                                .faults = m_faults,
                                                                .target = m_options.target,
                                                                .closed = closed},
                                               fd)});
    if (isSilent)
        m_links.back().link->blackhole();
    if (m_stalled.contains(source))
        m_links.back().link->setStalled(true);
}

void FaultProxy::setPartition(const Json::Value &partition)
{
    m_partitioned.clear();
    for (const Json::Value &it : partition["sources"])
        m_partitioned.insert(inet_addr(it.asCString()));
    const std::string how = partition["how"].asString();
    m_partition = how == "drop"      ? PartitionKind::Drop
            : how == "reset"         ? PartitionKind::Reset
            : how == "accept_silent" ? PartitionKind::AcceptSilent
                                     : PartitionKind::RefuseNew;
    filterSources();
    for (const Link &it : m_links) {
        const bool isStalled =
                m_partition == PartitionKind::Drop || m_partition == PartitionKind::AcceptSilent;
        if (isPartitioned(it.source) && isStalled)
            it.link->blackhole();
        if (isPartitioned(it.source) && m_partition == PartitionKind::Reset)
            it.link->cut();
    }
}

void FaultProxy::setStalled(const Json::Value &stall)
{
    m_stalled.clear();
    for (const Json::Value &it : stall["sources"])
        m_stalled.insert(inet_addr(it.asCString()));
    filterSources();
    for (const Link &it : m_links)
        it.link->setStalled(m_stalled.contains(it.source));
}

/// The kernel drops packets for which the filter of the listening socket returns zero, so that
/// connections from these sources are not established.
void FaultProxy::filterSources()
{
    constexpr std::uint32_t SourceIpOffset = 12;
    constexpr std::uint32_t WholePacket = 0xffffffff;
    std::vector<sock_filter> code = {BPF_STMT(
            BPF_LD | BPF_W | BPF_ABS, static_cast<std::uint32_t>(SKF_NET_OFF) + SourceIpOffset)};
    std::set<std::uint32_t> dropped = m_stalled;
    if (m_partition == PartitionKind::Drop)
        dropped.insert(m_partitioned.begin(), m_partitioned.end());
    for (const std::uint32_t it : dropped) {
        code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(it), 0, 1));
        code.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
    }
    code.push_back(BPF_STMT(BPF_RET | BPF_K, WholePacket));
    const sock_fprog program{.len = static_cast<unsigned short>(code.size()),
                             .filter = code.data()};
    if (setsockopt(evconnlistener_get_fd(m_listener), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                   sizeof program)
        != 0)
        throw std::runtime_error("cannot attach a packet filter to " + m_options.listen);
}

void FaultProxy::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() != "/v1/faults") {
        respondNotFound(*exchange);
        return;
    }
    if (exchange->method() == "POST") {
        const Json::Value request = bodyObject(*exchange);
        set(request);
        if (request["partition"].isObject())
            setPartition(request["partition"]);
        if (request["stall"].isObject())
            setStalled(request["stall"]);
        applyToOpenLinks(request);
    }
    Json::Value out;
    out["open"] = static_cast<Json::UInt64>(m_links.size());
    out["accepted"] = m_accepted;
    out["lose_answers"] = m_faults.loseAnswers;
    out["copied_refusals"] = m_faults.copiedRefusals;
    respondJson(*exchange, 200, out);
}

void FaultProxy::set(const Json::Value &request)
{
    if (request["clear"].isBool() && request["clear"].asBool())
        m_faults = {};
    if (request["delay_ms"].isInt())
        m_faults.delay = std::chrono::milliseconds(request["delay_ms"].asInt());
    if (request["drop"].isNumeric())
        m_faults.drop = request["drop"].asDouble();
    if (request["refuse"].isBool())
        m_faults.refuse = request["refuse"].asBool();
    if (request["lose_answers"].isInt())
        m_faults.loseAnswers = request["lose_answers"].asInt();
    if (request["endless_answer"].isObject()) {
        m_faults.answerBegin = request["endless_answer"]["begin"].asString();
        m_faults.answerRepeated = request["endless_answer"]["repeated"].asString();
    }
    if (request["partial_answer"].isString())
        m_faults.answerPart = request["partial_answer"].asString();
    if (request["copy_refusals"].isObject()) {
        m_faults.copyRefusals = request["copy_refusals"]["share"].asDouble();
        m_faults.copyAfter =
                std::chrono::milliseconds(request["copy_refusals"]["after_ms"].asInt());
    }
    if (request["throttle"].isUInt())
        m_faults.throttle = request["throttle"].asUInt();
}

void FaultProxy::applyToOpenLinks(const Json::Value &request)
{
    const bool silent = request["silent"].isBool() && request["silent"].asBool();
    const bool cut = request["cut"].isBool() && request["cut"].asBool();
    for (const Link &it : m_links) {
        if (silent)
            it.link->blackhole();
        if (cut)
            it.link->cut();
    }
}

} // namespace catkinloft::standin
