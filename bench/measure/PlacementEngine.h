#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace catkinloft::measure {

/// \brief One request in the simulation.
struct SimulatedJob
{
    std::uint64_t id = 0;
    int workspace = 0;
    std::uint64_t chat = 0;
    double prompt = 0; ///< In tokens.
    double sharedPrefix = 0; ///< Prompt tokens that an earlier turn of the chat contained.
    double output = 0; ///< In tokens.
    TimePoint arrived;
    int engine = -1;
    int router = -1; ///< The router that sent it to the engine.
    std::vector<int> relays = {}; ///< Routers that relayed it before.
    double slotTime = 0; ///< Time that it held a slot, in seconds.

    double work() const { return prompt + output; }
};

/// \brief Simulates an engine with slots, token rates and a bounded prefix cache.
class PlacementEngine
{
public:
    struct Options
    {
        int slots = 8;
        double prefillRate = 8000; ///< Tokens per second.
        double tokenTime = 0.01; ///< Seconds per token.
        double cacheTokens = 200'000;
    };

    explicit PlacementEngine(Options options) : m_options(options) { }

    /// \brief Appends \a job to the queue.
    void add(SimulatedJob *job)
    {
        m_waiting.push_back(job);
        work += job->work();
    }

    /// \returns the next queued job if a slot is free, else nullptr.
    SimulatedJob *startNext();

    /// \brief Adds the context of \a job, which has just started, to the cache.
    /// \param found set to the number of its prefix tokens that were cached.
    /// \returns the time that \a job holds its slot, in seconds.
    double serve(const SimulatedJob &job, double &found);

    void finish(const SimulatedJob &job)
    {
        --m_running;
        work -= job.work();
    }

    void clearCache();

    double work = 0; ///< Work of queued and running jobs, in tokens.
    double slowness = 1; ///< Factor on all durations.
    bool leaving = false;
    TimePoint returnedAt = {};

private:
    Options m_options;
    std::deque<SimulatedJob *> m_waiting;
    int m_running = 0;
    std::list<std::pair<std::uint64_t, double>> m_cache; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, double>>::iterator>
            m_byChat;
    double m_cached = 0;
};

} // namespace catkinloft::measure
