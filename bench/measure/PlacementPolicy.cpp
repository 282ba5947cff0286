#include "PlacementPolicy.h"

#include "Base/Hash.h"
#include "Decide/Rendezvous.h"

#include <charconv>

#include <fmt/format.h>

namespace catkinloft::measure {

namespace {

int parseIndex(std::string_view name)
{
    int out = 0;
    const std::string_view digits = name.substr(1);
    std::from_chars(digits.data(), digits.data() + digits.size(), out);
    return out;
}

/// Decides with Dispatcher. `ours` and `engine_owner` count load at the engine's owner and receive
/// load reports; `local_share` does neither, and `lagged_reports` only receives reports.
class DispatcherPolicy final : public PlacementPolicy
{
public:
    explicit DispatcherPolicy(const PlacementPolicyOptions &o)
        : m_reports(o.name != "local_share"),
          m_dispatcher({.clock = o.clock,
                        .random = seededRandom(o.seed),
                        .self = fmt::format("r{}", o.router),
                        .ownerGroup = o.name == "engine_owner" ? 1 : 16})
    {
        if (o.name != "ours" && o.name != "engine_owner")
            return;
        std::vector<RouterView> routers;
        routers.reserve(static_cast<std::size_t>(o.routers));
        for (int i = 0; i < o.routers; ++i)
            routers.push_back(
                    {.name = fmt::format("r{}", i), .callerAddress = fmt::format("r{}", i)});
        m_dispatcher.setRouters(std::move(routers));
    }

    void submit(const SimulatedJob &job, int hops, Decided decided) override
    {
        Job it{.id = job.id,
               .workspace = fmt::format("w{}", job.workspace),
               .chatKey = hashCombine(3, job.chat),
               .work = job.work(),
               .deadline = job.arrived + std::chrono::seconds(30),
               .hops = hops};

        m_dispatcher.submit(std::move(it), [done = std::move(decided)](Result<Assignment> result) {
            if (!result)
                done(-1, -1, true);
            else if (result.value().relayed)
                done(parseIndex(result.value().upstream), parseIndex(result.value().address),
                     false);
            else
                done(parseIndex(result.value().upstream), -1, false);
        });
    }

    void finished(const SimulatedJob &job, bool, Duration total) override
    {
        m_dispatcher.finished(job.id,
                              {.succeeded = true,
                               .verdict = Verdict::Ran,
                               .untilFirstByte = total,
                               .total = total});
    }

    void setInventory(const InventoryPtr &inventory) override
    {
        m_dispatcher.setEngines(inventory, "m");
    }

    void updateLoads(std::span<const double>, std::span<const LoadReport> reports) override
    {
        if (m_reports)
            m_dispatcher.addLoadReports(reports);
    }

    std::vector<LoadReport> report() override
    {
        return m_reports ? m_dispatcher.ownLoad() : std::vector<LoadReport>();
    }

    void poll() override
    {
        if (m_dispatcher.nextDeadline() != TimePoint::max())
            m_dispatcher.poll();
    }

private:
    bool m_reports;
    Dispatcher m_dispatcher;
};

/// Common load-balancing policies for comparison. Jobs queue inside the engines and none is
/// refused.
class BaselinePolicy final : public PlacementPolicy
{
public:
    explicit BaselinePolicy(const PlacementPolicyOptions &o)
        : m_name(o.name), m_random(seededRandom(o.seed)), m_next(below(m_random, 1000)),
          m_inFlight(static_cast<std::size_t>(o.engines)),
          m_loads(static_cast<std::size_t>(o.engines))
    { }

    void submit(const SimulatedJob &job, int, Decided decided) override
    {
        const std::size_t it = choose(job);
        ++m_inFlight[it];
        decided(static_cast<int>(it), -1, false);
    }

    void finished(const SimulatedJob &job, bool, Duration) override
    {
        --m_inFlight[static_cast<std::size_t>(job.engine)];
    }

    void setInventory(const InventoryPtr &inventory) override
    {
        m_live.clear();
        for (std::size_t i = 0; i < inventory->engines.size(); ++i) {
            if (!inventory->engines[i].leaving)
                m_live.push_back(i);
        }
    }

    void updateLoads(std::span<const double> loads, std::span<const LoadReport>) override
    {
        m_loads.assign(loads.begin(), loads.end());
    }

private:
    std::size_t choose(const SimulatedJob &job)
    {
        if (m_name == "round_robin")
            return m_live[m_next++ % m_live.size()];
        if (m_name == "rendezvous")
            return best([&](std::size_t i) {
                return rendezvousScore(hashCombine(3, job.chat), hashCombine(5, i), 1);
            });
        if (m_name == "two_choices") {
            const std::size_t a = m_live[below(m_random, m_live.size())];
            const std::size_t b = m_live[below(m_random, m_live.size())];
            return m_loads[b] < m_loads[a] ? b : a;
        }
        const std::uint64_t shift = below(m_random, m_live.size());
        return best([&](std::size_t i) {
            // Random tie-breaking.
            const auto turn = static_cast<double>((i + shift) % m_live.size());
            return -m_inFlight[i] - turn / static_cast<double>(m_live.size() + 1);
        });
    }

    template<typename Score>
    std::size_t best(const Score &score) const
    {
        std::size_t out = m_live.front();
        for (const std::size_t i : m_live)
            out = score(i) > score(out) ? i : out;
        return out;
    }

    std::string_view m_name;
    RandomSource m_random;
    std::uint64_t m_next;
    std::vector<int> m_inFlight;
    std::vector<double> m_loads; ///< As published by the engines.
    std::vector<std::size_t> m_live;
};

} // namespace

std::unique_ptr<PlacementPolicy> makePlacementPolicy(const PlacementPolicyOptions &options)
{
    const bool usesDispatcher = options.name == "ours" || options.name == "oracle"
            || options.name == "engine_owner" || options.name == "local_share"
            || options.name == "lagged_reports";
    if (usesDispatcher)
        return std::make_unique<DispatcherPolicy>(options);
    return std::make_unique<BaselinePolicy>(options);
}

} // namespace catkinloft::measure
