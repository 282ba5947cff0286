#pragma once

#include "Base/Metrics.h"
#include "Base/Random.h"
#include "Base/TableService.h"
#include "Control/ConfigManager.h"
#include "Control/EngineTracker.h"
#include "Control/RouterDirectory.h"
#include "Control/TrafficGovernor.h"

#include <memory>
#include <string>
#include <string_view>

namespace catkinloft {

class EventLoop;
class HttpClient;

/// \brief Everything that a router does about engines besides sending them requests: reads the
/// engines that it owns, gives orders to the groups whose lease it holds, moves caches before a
/// planned leave.
class EngineTask
{
public:
    struct Options
    {
        EventLoop &loop;
        HttpClient &client;
        Metrics &metrics;
        TableService &table;
        ConfigManager &config;
        RouterDirectory &directory;
        TrafficGovernor &governor;
        RandomSource random;
        std::string weightStore; ///< `ip:port`; empty: none.
        bool secure = false; ///< Whether engines are spoken to over TLS.
    };

    explicit EngineTask(Options options);
    ~EngineTask();

    /// \brief Starts to read and to order; until then nothing is sent.
    void start();

    /// \returns what is believed of the engines that this router owns.
    EngineTracker &tracker();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
