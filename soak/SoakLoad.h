#pragma once

#include "Base/Random.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "fleet/EntryFleet.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft::soak {

/// Ids of the requests that end replicas begin so.
inline constexpr std::string_view FatalIdPrefix = "fatal-";

/// \brief What a caller saw of one attempt.
struct Attempt
{
    std::string route = {};
    std::string key = {};
    std::size_t router = 0; ///< That it was sent to.
    WallTime sentAt = {};
    int status = 0; ///< 0: no whole answer.
    std::string body = {};
    std::string signature = {};
    bool saysLeaving = false; ///< The answer says that its replica leaves.
    WallTime answeredAt = {};
};

/// \brief Callers that ask the directory for addresses, keep using open connections, and send calls
/// and streams at a steady rate.
class SoakLoad
{
public:
    struct Options
    {
        EventLoop &loop;
        const standin::EntryFleet &fleet;
        RandomSource random;
        Duration interval = std::chrono::milliseconds(8); ///< Between two requests of all callers.
    };

    explicit SoakLoad(Options options);

    void start() { m_timer.startRepeating(m_options.interval); }
    void stop()
    {
        m_timer.stop();
        m_fatalTimer.stop();
    }

    /// \brief Sends a request that ends the replica which runs it, each \a interval from now on;
    /// zero: none any more.
    void sendFatal(Duration interval);

    /// \brief Sets the key that callers show from now on.
    void setKey(const std::string &key) { m_key = key; }

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

    void send();
    void send(const RequestTemplate &shape, const std::string &id, std::size_t router);
    void resolveRouters();
    std::size_t routerIndexOf(const std::string &address) const;

    Options m_options;
    HttpClient m_client;
    Timer m_timer;
    Timer m_fatalTimer;
    std::string m_key = standin::EntryFleet::Key;
    std::vector<std::string> m_addresses;
    std::map<std::string, Attempt> m_attempts;
    std::size_t m_inProgress = 0;
    std::size_t m_number = 0;
    std::size_t m_fatalNumber = 0;
};

} // namespace catkinloft::soak
