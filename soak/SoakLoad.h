#pragma once

#include "Attempt.h"
#include "Base/Random.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "fleet/EntryFleet.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft::soak {

/// Prefix of the ids of requests that crash replicas.
inline constexpr std::string_view FatalIdPrefix = "fatal-";

/// \brief A request that a router or a replica answers at once, whatever its load. Its duration
/// shows how long messages and processes are delayed at that moment.
struct Canary
{
    WallTime sentAt = {};
    Duration delay = Duration::max(); ///< Until the answer; max(): none.
};

class SlowCallers;

/// \brief Simulates callers that resolve router addresses through the directory, reuse open
/// connections, and send calls and streams at a constant rate.
class SoakLoad
{
public:
    struct Options
    {
        EventLoop &loop;
        const standin::EntryFleet &fleet;
        RandomSource random;
        Duration interval = std::chrono::milliseconds(8); ///< Between two requests of all callers.
        bool onlyRetryable = false; ///< Sends only calls and streams that may be repeated.
        /// Seed for callers that leave streams and resume them at another router; empty: none do.
        std::optional<std::uint64_t> leaverSeed = {};
        /// Seed for callers of the additional workspaces, who can overload the fleet; empty: there
        /// are none. \sa setOverload()
        std::optional<std::uint64_t> workspaceSeed = {};
        /// Seed for callers of streams that last over a second; empty: there are none.
        std::optional<std::uint64_t> longStreamSeed = {};
        /// Seed for SlowCallers; empty: there are none.
        std::optional<std::uint64_t> slowCallerSeed = {};
    };

    /// Time that callers give a request.
    static constexpr auto CallerTimeout = Attempt::DefaultTimeout;

    explicit SoakLoad(Options options);
    ~SoakLoad();

    void start();
    void stop();

    /// \brief Sends a request that crashes the replica which runs it, once every \a interval from
    /// now on; zero stops sending them.
    void sendFatal(Duration interval);

    /// \brief Sets the key that callers send from now on.
    void setKey(const std::string &key) { m_key = key; }

    /// Time between two canaries to the same router or replica during an overload.
    static constexpr Duration CanaryInterval = std::chrono::milliseconds(20);

    /// \brief Callers of the additional workspaces send \a perSecond requests, half of them from
    /// the workspace \a surging, and canaries are sent until endOverload().
    void setOverload(double perSecond, std::size_t surging);
    void endOverload();

    /// \returns all canaries in order of sending.
    const std::vector<Canary> &canaries() const { return m_canaries; }

    std::size_t inProgress() const { return m_inProgress; }

    /// \returns all attempts by id.
    const std::map<std::string, Attempt> &attempts() const { return m_attempts; }

private:
    struct RequestTemplate
    {
        const char *route;
        const char *method;
        const char *target;
        std::string_view body;
    };
    static constexpr RequestTemplate StreamTemplate = {"stream", "GET", "/stream/a?events=6", ""};
    /// Ends within the callers' timeout also if its replica is paused once.
    static constexpr RequestTemplate LongStreamTemplate = {"stream", "GET",
                                                           "/stream/a?events=16&gap_ms=80", ""};
    static constexpr int LongStreamEvents = 16;
    /// A stream whose caller leaves after a few events.
    struct LeftStream
    {
        HttpCallPtr call;
        std::string received;
        int events = 0;
        int leaveAfter = 0;
    };

    struct Call
    {
        HttpCallPtr handle = {};
        HttpAnswer answer = {};
    };

    /// One try of a request from an additional workspace.
    struct WorkspaceTry
    {
        const RequestTemplate *request = nullptr;
        int priority = 0;
        std::size_t workspace = 0;
        TimePoint deadline = {};
        std::string first = {}; ///< Id of the first try.
        int number = 1;
    };
    static constexpr std::size_t TemplateCount = 4;
    static const RequestTemplate &templateAt(std::size_t i);

    void send();
    void send(const RequestTemplate &request, const std::string &id, std::size_t router);
    HttpCall composeCall(const RequestTemplate &request, const std::string &id, std::size_t router);
    void fetch(HttpCall call, const std::string &id, std::function<void()> done);
    void record(const std::string &id, const Result<HttpAnswer> &answer);
    void sendLongStream();
    void sendForWorkspaces();
    void sendTry(const WorkspaceTry &it);
    void retry(WorkspaceTry it, const Attempt &failed);
    void sendCanaries();
    void sendCanary(const std::string &address, const HttpHeader &header);
    bool isLeaver(const RequestTemplate &request) const;
    void sendAndLeave(const std::string &id, std::size_t router);
    void receive(const std::string &id, std::size_t router, std::string_view data);
    void resume(const std::string &first, std::size_t router);
    void resolveRouters();
    std::size_t routerIndexOf(const std::string &address) const;

    Options m_options;
    HttpClient m_client;
    Timer m_timer;
    Timer m_fatalTimer;
    Timer m_longStreamTimer;
    std::string m_key = standin::EntryFleet::Key;
    std::vector<std::string> m_addresses;
    std::map<std::string, Attempt> m_attempts;
    std::map<std::string, Call> m_calls; ///< In progress, by id.
    std::map<std::string, LeftStream> m_leftStreams; ///< In progress, by id.
    RandomSource m_leaverRandom; ///< Null: no caller leaves its stream.
    std::size_t m_inProgress = 0;
    std::size_t m_number = 0;
    std::size_t m_fatalNumber = 0;
    RandomSource m_longStreamRandom;
    std::size_t m_longStreamNumber = 0;
    Timer m_workspaceTimer;
    Timer m_canaryTimer;
    RandomSource m_workspaceRandom; ///< Null: there are no additional workspaces.
    double m_workspaceRate; ///< Requests per second.
    std::optional<std::size_t> m_surging; ///< Workspace that sends more than usual.
    TimePoint m_workspaceSentAt;
    double m_workspaceDue = 0; ///< Requests that are due, with fractions.
    std::size_t m_workspaceNumber = 0;
    std::vector<std::size_t> m_triesInProgress; ///< By router.
    std::vector<Canary> m_canaries;
    std::unique_ptr<SlowCallers> m_slowCallers; ///< Null: there are none.
};

} // namespace catkinloft::soak
