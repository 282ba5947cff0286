#include "Net/CrashWatch.h"

#include "Base/Log.h"
#include "Base/Metrics.h"
#include "Decide/RequestQuarantine.h"
#include "Net/EventLoop.h"
#include "Net/Timer.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
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

/// Time after which an open connection counts as that of a running replica. The request waits for
/// the result before it is sent to another replica.
constexpr Duration DecisionTimeout = 100ms;

/// Time in which a proxy finds that nothing listens behind it and closes the connection: a round
/// trip on its path to the replica. Bounded because an attempt that broke shortly before the crash
/// is recorded with it, and RequestQuarantine excludes what is recorded later than
/// CrashDetectionSpread after that.
constexpr Duration CloseTimeout = 250ms;
static_assert(CloseTimeout > DecisionTimeout, "a decision must not wait for the end of the check");
static_assert(CloseTimeout <= RequestQuarantine::CrashDetectionSpread,
              "a crash must not be detected after the attempts that it broke are excluded");

/// Time for which a crash is remembered for the other requests that the replica was processing. It
/// is short because a replica whose incarnation does not change with each start may be running
/// again later.
constexpr Duration CrashMemory = 1s;

enum class ProbeResult : std::uint8_t {
    Unknown,
    Connected, ///< A process accepted the connection.
    StayedOpen, ///< The connection is open after DecisionTimeout.
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
        : m_found(std::move(found)), m_timeout(loop, [this] { m_found(m_resultAtTimeout); }),
          m_closeTimeout(loop, [this] { readable(); })
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
        m_resultAtTimeout = ProbeResult::StayedOpen;
        m_timeout.start(DecisionTimeout);
        m_closeTimeout.start(CloseTimeout);
        m_found(ProbeResult::Connected);
    }

    /// Nothing was requested, so the only expected event is that the connection is closed. If the
    /// loop is delayed, CloseTimeout may end before that event is processed.
    void readable()
    {
        char byte = 0;
        const ssize_t n = recv(m_socket, &byte, 1, 0);
        const bool isOpen = n == 1 || (n < 0 && errno == EAGAIN);
        m_found(isOpen ? ProbeResult::Unknown : ProbeResult::Crashed);
    }

    std::function<void(ProbeResult)> m_found;
    ProbeResult m_resultAtTimeout = ProbeResult::Unknown;
    Timer m_timeout;
    Timer m_closeTimeout;
    evutil_socket_t m_socket = -1;
    event *m_ready = nullptr;
};

/// The attempts that wait for one probe of their replica.
struct Check
{
    std::string replica; ///< Incarnation of the replica.
    TimePoint brokeAt; ///< When the first of the attempts broke.
    std::unique_ptr<Probe> probe;
    bool connected = false;
    std::vector<PendingCheck> attempts;
};

using CheckPtr = std::shared_ptr<Check>;

} // namespace

struct CrashWatch::Private
{
    explicit Private(Options o) : options(std::move(o)) { }

    CheckPtr start(const BrokenAttempt &attempt);
    void found(const CheckPtr &check, ProbeResult result);
    void crashed(const Check &check);
    void reportCrash(const BrokenAttempt &attempt, TimePoint crashedAt);
    void closeToAttempts(const CheckPtr &check);
    void finish(const CheckPtr &check);
    void forgetOld();

    Options options;
    /// Undecided checks by incarnation. Further broken attempts join them.
    std::map<std::string, CheckPtr> undecided;
    std::set<CheckPtr> checks; ///< All, with those that only wait for a late close.
    std::map<std::string, TimePoint> crashTimes; ///< By incarnation.
};

CrashWatch::CrashWatch(Options options) : m_d(std::make_unique<Private>(std::move(options))) { }

CrashWatch::~CrashWatch() = default;

void CrashWatch::checkReplica(BrokenAttempt attempt, AliveCriterion criterion,
                              std::function<void(bool)> decided)
{
    m_d->forgetOld();
    const auto crashed = m_d->crashTimes.find(attempt.replica);
    if (crashed != m_d->crashTimes.end()) {
        m_d->reportCrash(attempt, crashed->second);
        m_d->options.loop.post([decided = std::move(decided)] { decided(true); });
        return;
    }
    const auto known = m_d->undecided.find(attempt.replica);
    const CheckPtr check = known == m_d->undecided.end() ? m_d->start(attempt) : known->second;
    if (check->connected && criterion == AliveCriterion::Accepts)
        m_d->options.loop.post([late = std::exchange(decided, nullptr)] { late(false); });
    check->attempts.push_back({std::move(attempt), criterion, std::move(decided)});
}

CheckPtr CrashWatch::Private::start(const BrokenAttempt &attempt)
{
    auto check = std::make_shared<Check>();
    check->replica = attempt.replica;
    check->brokeAt = options.loop.now();
    const std::weak_ptr<Check> weak = check;
    check->probe =
            std::make_unique<Probe>(options.loop, attempt.address, [this, weak](ProbeResult it) {
                if (const CheckPtr held = weak.lock())
                    found(held, it);
            });
    undecided[attempt.replica] = check;
    checks.insert(check);
    return check;
}

void CrashWatch::Private::found(const CheckPtr &check, ProbeResult result)
{
    if (result == ProbeResult::Crashed)
        crashed(*check);
    check->connected = result == ProbeResult::Connected;
    // The callbacks may start the next check, so they run after the state is updated.
    std::vector<std::function<void(bool)>> hooks;
    for (PendingCheck &it : check->attempts) {
        const bool isPending = check->connected && it.criterion == AliveCriterion::StaysOpen;
        if (it.decided && !isPending)
            hooks.push_back(std::exchange(it.decided, nullptr));
    }
    if (result == ProbeResult::StayedOpen)
        closeToAttempts(check);
    else if (!check->connected)
        finish(check);
    for (const auto &it : hooks)
        it(result == ProbeResult::Crashed);
}

void CrashWatch::Private::crashed(const Check &check)
{
    const auto [crash, isNew] = crashTimes.emplace(check.replica, check.brokeAt);
    crash->second = std::min(crash->second, check.brokeAt);
    if (isNew) {
        options.metrics.count("catkinloft_replica_ends_total");
        Log::warning("replica_ended",
                     {{"replica", check.replica},
                      {"address", check.attempts.front().attempt.address},
                      {"requests", check.attempts.size()}});
        options.replicaCrashed(check.replica);
    }
    for (const PendingCheck &it : check.attempts)
        reportCrash(it.attempt, check.brokeAt);
}

/// Ends the time in which broken attempts join \a check. Later ones get a probe of their own,
/// because the replica may have crashed only after the probe of \a check had connected.
void CrashWatch::Private::closeToAttempts(const CheckPtr &check)
{
    const auto known = undecided.find(check->replica);
    if (known != undecided.end() && known->second == check)
        undecided.erase(known);
}

/// The probe must not be destroyed from within its own callback.
void CrashWatch::Private::finish(const CheckPtr &check)
{
    closeToAttempts(check);
    checks.erase(check);
    options.loop.post([held = check] {});
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
    std::erase_if(crashTimes, [&](const auto &it) { return now - it.second > CrashMemory; });
}

} // namespace catkinloft
