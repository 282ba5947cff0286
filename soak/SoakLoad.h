#pragma once

#include "Base/Random.h"
#include "Net/EventLoop.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "fleet/EntryFleet.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft::soak {

/// \brief What a caller saw of one attempt.
struct Attempt
{
    std::string route = {};
    std::string key = {};
    WallTime sentAt = {};
    int status = 0; ///< 0: no whole answer.
    std::string body = {};
    std::string signature = {};
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
    void stop() { m_timer.stop(); }

    /// \brief Sets the key that callers show from now on.
    void setKey(const std::string &key) { m_key = key; }

    std::size_t inProgress() const { return m_open; }

    /// \returns all attempts by id.
    const std::map<std::string, Attempt> &attempts() const { return m_attempts; }

private:
    void send();
    void askDirectory();

    Options m_options;
    HttpClient m_client;
    Timer m_timer;
    std::string m_key = standin::EntryFleet::Key;
    std::vector<std::string> m_addresses;
    std::map<std::string, Attempt> m_attempts;
    std::size_t m_open = 0;
    std::size_t m_number = 0;
};

} // namespace catkinloft::soak
