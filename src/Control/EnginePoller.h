#pragma once

#include "Control/EngineClient.h"
#include "Control/EngineTracker.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace catkinloft {

/// \brief Polls load and cache events of the engines that this router owns, one engine at a time.
///
/// Handles 11 engines per router in the largest fleet and one or two in a small one. Prevents
/// polling traffic from growing with the number of engines and using up the budget for control
/// traffic. The limit is one engine per second because a poll consists of two calls of about 450
/// bytes with headers, which is 900 of the 3,000 bytes per second. Each of 11 engines is then
/// polled every 11 s, which the age of its hint shows, and those of a small fleet every second or
/// two.
class EnginePoller
{
public:
    struct Engine
    {
        std::string name;
        std::string address; ///< `ip:port`.
    };

    struct Options
    {
        const Clock &clock;
        EngineClient &engines;
        EngineTracker &tracker;
        double enginesPerSecond = 1;
        /// Whether the budget has room for deferrable control traffic.
        std::function<bool()> mayDefer = [] { return true; };
    };

    explicit EnginePoller(Options options);

    void setEngines(std::vector<Engine> engines);
    void poll();

    /// \returns when poll() must be called next.
    TimePoint nextDeadline() const;

private:
    void read(const Engine &engine);

    Options m_options;
    std::vector<Engine> m_engines;
    std::size_t m_position = 0;
    TimePoint m_next;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace catkinloft
