#include "Net/CrashWatch.h"

#include "Base/Log.h"
#include "Base/Metrics.h"
#include "Net/EventLoop.h"
#include "Net/Timer.h"

#include <cerrno>
#include <cstdint>
#include <map>
#include <vector>

#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace catkinloft {

namespace {

using namespace std::chrono_literals;

/// Opening a connection within a region takes milliseconds. The request waits for the result before
/// it is sent to another replica.
constexpr Duration ConnectTimeout = 150ms;

/// Time in which a proxy finds that nothing listens behind it and closes the connection.
constexpr Duration CloseTimeout = 100ms;

/// Time for which a crash is remembered for the other requests that the replica was processing. It
/// is short because a replica whose incarnation does not change with each start may be running
/// again later.
constexpr Duration CrashMemory = 1s;

enum class ProbeResult : std::uint8_t {
    Unknown,
    Connected, ///< A process accepted the connection.
    Crashed,
};

struct PendingCheck
{
    CrashWatch::BrokenAttempt attempt;
    CrashWatch::AliveCriterion criterion = CrashWatch::AliveCriterion::Accepts;
    std::function<void(bool)> decided; ///< Null after it was called.
};

/// A connection that is opened only to find out whether a process listens at the address.
class Probe
{
public:
    Probe(EventLoop &loop, const std::string &address, std::function<void(ProbeResult)> found)
        : m_found(std::move(found)), m_timeout(loop, [this] { m_found(m_resultAtTimeout); })
    {
        const int error = connect(address);
        if (error != EINPROGRESS) {
            m_resultAtTimeout = error == ECONNREFUSED ? ProbeResult::Crashed : ProbeResult::Unknown;
            m_timeout.start(Duration::zero());
            return;
        }
        m_timeout.start(ConnectTimeout);
        m_ready = event_new(
                loop.base(), m_socket, EV_WRITE,
                [](evutil_socket_t, short, void *arg) { static_cast<Probe *>(arg)->connected(); },
                this);
        event_add(m_ready, nullptr);
    }

    ~Probe()
    {
        if (m_ready)
            event_free(m_ready);
        if (m_socket >= 0)
            evutil_closesocket(m_socket);
    }

    Probe(const Probe &) = delete;
    Probe &operator=(const Probe &) = delete;

private:
    /// \returns EINPROGRESS while the connection is pending, else the error.
    int connect(const std::string &address)
    {
        sockaddr_storage to{};
        int length = sizeof to;
        auto *raw = reinterpret_cast<sockaddr *>(&to);
        if (evutil_parse_sockaddr_port(address.c_str(), raw, &length) != 0)
            return EINVAL;
        m_socket = socket(to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (m_socket < 0)
            return errno;
        const bool atOnce = ::connect(m_socket, raw, static_cast<socklen_t>(length)) == 0;
        return atOnce ? EINPROGRESS : errno;
    }

    void connected()
    {
        int error = 0;
        socklen_t length = sizeof error;
        getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0)
            return m_found(error == ECONNREFUSED ? ProbeResult::Crashed : ProbeResult::Unknown);
        event_assign(
                m_ready, event_get_base(m_ready), m_socket, EV_READ,
                [](evutil_socket_t, short, void *arg) { static_cast<Probe *>(arg)->readable(); },
                this);
        event_add(m_ready, nullptr);
        m_timeout.start(CloseTimeout);
        m_found(ProbeResult::Connected);
    }

    /// Nothing was requested, so the only expected event is that the connection is closed.
    void readable()
    {
        char byte = 0;
        m_found(recv(m_socket, &byte, 1, 0) == 1 ? ProbeResult::Unknown : ProbeResult::Crashed);
    }

    std::function<void(ProbeResult)> m_found;
    ProbeResult m_resultAtTimeout = ProbeResult::Unknown;
    Timer m_timeout;
    evutil_socket_t m_socket = -1;
    event *m_ready = nullptr;
};

struct Check
{
    TimePoint brokeAt; ///< When the first of the waiting attempts broke.
    std::unique_ptr<Probe> probe;
    bool connected = false;
    std::vector<PendingCheck> waiting;
};

} // namespace

struct CrashWatch::Private
{
    explicit Private(Options o) : options(std::move(o)) { }

    void found(const std::string &replica, ProbeResult result);
    void reportCrash(const BrokenAttempt &attempt, TimePoint crashedAt);
    void finish(const std::string &replica);
    void forgetOld();

    Options options;
    std::map<std::string, Check> checks; ///< By incarnation of the replica.
    std::map<std::string, TimePoint> crashed; ///< Time of the crash by incarnation.
};

CrashWatch::CrashWatch(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

CrashWatch::~CrashWatch() = default;

void CrashWatch::checkReplica(BrokenAttempt attempt, AliveCriterion criterion,
                              std::function<void(bool)> decided)
{
    m_d->forgetOld();
    const auto crashed = m_d->crashed.find(attempt.replica);
    if (crashed != m_d->crashed.end()) {
        m_d->reportCrash(attempt, crashed->second);
        m_d->options.loop.post([decided = std::move(decided)] { decided(true); });
        return;
    }
    const std::string replica = attempt.replica;
    const std::string address = attempt.address;
    Check &check = m_d->checks[replica];
    check.waiting.push_back({std::move(attempt), criterion, std::move(decided)});
    if (!check.probe) {
        check.brokeAt = m_d->options.loop.now();
        check.probe = std::make_unique<Probe>(
                m_d->options.loop, address,
                [d = m_d.get(), replica](ProbeResult it) { d->found(replica, it); });
    } else if (check.connected && criterion == AliveCriterion::Accepts) {
        const auto late = std::exchange(check.waiting.back().decided, nullptr);
        m_d->options.loop.post([late] { late(false); });
    }
}

void CrashWatch::Private::found(const std::string &replica, ProbeResult result)
{
    Check &check = checks[replica];
    if (result == ProbeResult::Crashed) {
        crashed[replica] = check.brokeAt;
        options.metrics.count("catkinloft_replica_ends_total");
        Log::warning("replica_ended",
                     {{"replica", replica},
                      {"address", check.waiting.front().attempt.address},
                      {"requests", check.waiting.size()}});
        options.replicaCrashed(replica);
        for (const PendingCheck &it : check.waiting)
            reportCrash(it.attempt, check.brokeAt);
    }
    check.connected = result == ProbeResult::Connected;
    // The callbacks may start the next check, so they run after the state is updated.
    std::vector<std::function<void(bool)>> hooks;
    for (PendingCheck &it : check.waiting) {
        const bool isPending = check.connected && it.criterion == AliveCriterion::StaysOpen;
        if (it.decided && !isPending)
            hooks.push_back(std::exchange(it.decided, nullptr));
    }
    if (!check.connected)
        finish(replica);
    for (const auto &it : hooks)
        it(result == ProbeResult::Crashed);
}

/// The probe must not be destroyed from within its own callback.
void CrashWatch::Private::finish(const std::string &replica)
{
    auto node = checks.extract(replica);
    options.loop.post([held = std::shared_ptr<Probe>(std::move(node.mapped().probe))] {});
}

void CrashWatch::Private::reportCrash(const BrokenAttempt &attempt, TimePoint crashedAt)
{
    // Requests sent after the crash only reached the proxy in front of the replica.
    if (attempt.sentAt > crashedAt)
        return;
    Log::info("run_ended_with_replica",
              {{"request_id", attempt.requestId},
               {"fingerprint", attempt.fingerprint},
               {"replica", attempt.replica},
               {"software", attempt.software}});
    options.attemptCrashed(attempt, crashedAt);
}

void CrashWatch::Private::forgetOld()
{
    const TimePoint now = options.loop.now();
    std::erase_if(crashed, [&](const auto &it) { return now - it.second > CrashMemory; });
}

} // namespace catkinloft
