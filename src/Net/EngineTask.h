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

/// \brief Controls engines; requests are sent to them elsewhere.
///
/// Reads the state of the engines that this router owns, sends orders to the groups whose lease it
/// holds, and migrates caches before an engine leaves as planned.
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
        bool secure = false; ///< Whether engines are called over TLS.
    };

    explicit EngineTask(Options options);
    ~EngineTask();

    /// \brief Starts to read engines and to send orders; nothing is sent before.
    void start();

    /// \returns the estimated state of the engines that this router owns.
    EngineTracker &tracker();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace catkinloft
