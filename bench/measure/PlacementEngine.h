#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace catkinloft::measure {

/// \brief One request in the measurement.
struct SimulatedJob
{
    std::uint64_t id = 0;
    int workspace = 0;
    std::uint64_t chat = 0;
    double prompt = 0; ///< Tokens.
    double sharedPrefix = 0; ///< Of these, tokens that an earlier turn of the chat had.
    double output = 0; ///< Tokens.
    TimePoint arrived;
    int engine = -1;
    int router = -1; ///< That sent it to the engine.
    std::vector<int> relays = {}; ///< Routers that passed it on before.
    double slotTime = 0; ///< Seconds it held a slot.

    double work() const { return prompt + output; }
};

/// \brief A model engine: slots, token rates and a bounded prefix cache.
class PlacementEngine
{
public:
    struct Options
    {
        int slots = 8;
        double prefillRate = 8000; ///< Tokens a second.
        double tokenTime = 0.01; ///< Seconds a token.
        double cacheTokens = 200'000;
    };

    explicit PlacementEngine(Options options) : m_options(options) { }

    /// \brief Takes \a job into its waiting line.
    void add(SimulatedJob *job)
    {
        m_waiting.push_back(job);
        work += job->work();
    }

    /// \returns the next job that gets a slot, or nullptr.
    SimulatedJob *startNext();

    /// \returns seconds that \a job, which just started, holds its slot; takes its context up.
    /// \param found set to the tokens of its prefix that were cached.
    double serve(const SimulatedJob &job, double &found);

    void finish(const SimulatedJob &job)
    {
        --m_running;
        work -= job.work();
    }

    void clearCache();

    double work = 0; ///< Waiting and running, in tokens.
    double slowness = 1; ///< Factor on every time.
    bool leaving = false;
    TimePoint returnedAt = {};

private:
    Options m_options;
    std::deque<SimulatedJob *> m_waiting;
    int m_running = 0;
    std::list<std::pair<std::uint64_t, double>> m_cache; ///< MaxUpstreams recently used first.
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, double>>::iterator>
            m_byChat;
    double m_cached = 0;
};

} // namespace catkinloft::measure
