#include "Measure.h"

#include "Base/ManualClock.h"
#include "Request/ClaimManager.h"

#include <algorithm>
#include <cmath>
#include <map>

#include <fmt/format.h>

namespace catkinloft::measure {

namespace {

using namespace std::chrono_literals;

constexpr Duration StoreLatency = 2ms; ///< Time from a transaction to its answer.
constexpr Duration ServiceTime = 20ms; ///< Time from a granted claim to the service's answer.
constexpr Duration Step = 500us;
constexpr Duration Length = 10s;

/// Answers every transaction after StoreLatency and checks versions as the real store does.
class DelayedTable final : public TableService
{
public:
    explicit DelayedTable(const Clock &clock) : m_clock(clock) { }

    void read(std::vector<std::string>, Callback<std::vector<TableRow>> done) override
    {
        done(Error{.reason = Reason::StoreUnavailable});
    }

    void scan(std::string, std::size_t, Callback<std::vector<TableRow>> done) override
    {
        done(std::vector<TableRow>());
    }

    void commit(TableTransaction transaction, Callback<TableCommit> done) override
    {
        ++commits;
        m_pending.emplace(m_clock.now() + StoreLatency,
                          std::pair(std::move(transaction), std::move(done)));
    }

    void poll()
    {
        while (!m_pending.empty() && m_pending.begin()->first <= m_clock.now()) {
            const auto it = m_pending.extract(m_pending.begin());
            it.mapped().second(apply(it.mapped().first));
        }
    }

    std::uint64_t commits = 0;

private:
    TableCommit apply(const TableTransaction &transaction)
    {
        TableCommit out{.committed = true, .current = {}};
        for (const TableTransaction::Expect &it : transaction.expects)
            out.committed = out.committed && m_rows[it.key].version == it.version;
        for (const TableTransaction::Write &it : transaction.writes) {
            if (out.committed)
                m_rows[it.key] = {
                        .key = it.key, .value = it.value.value_or(""), .version = ++m_version};
        }
        for (const TableTransaction::Expect &it : transaction.expects)
            out.current.push_back(m_rows[it.key]);
        return out;
    }

    const Clock &m_clock;
    std::multimap<TimePoint, std::pair<TableTransaction, Callback<TableCommit>>> m_pending;
    std::map<std::string, TableRow> m_rows;
    std::uint64_t m_version = 0;
};

class EmptyObjectStore final : public ObjectStore
{
public:
    void put(std::string, std::string, Callback<void> done) override { done(outcome::success()); }
    void get(std::string, Callback<std::optional<std::string>> done) override
    {
        done(std::optional<std::string>());
    }
};

/// Poisson arrivals of calls, distributed over the routers at random.
class Load
{
public:
    Load(double rate, std::size_t routers, std::uint64_t seed)
        : m_rate(rate), m_random(seededRandom(seed))
    {
        for (std::size_t i = 0; i < routers; ++i) {
            m_managers.push_back(std::make_unique<ClaimManager>(
                    ClaimManager::Options{.table = m_table,
                                          .objects = m_objects,
                                          .clock = m_clock,
                                          .metrics = m_metrics,
                                          .random = m_random,
                                          .router = fmt::format("router-{}", i)}));
        }
    }

    void run()
    {
        TimePoint next = m_clock.now();
        const TimePoint end = next + Length;
        while (m_clock.now() < end) {
            for (; next <= m_clock.now();
                 next += fromSeconds(-std::log(1 - uniform(m_random)) / m_rate))
                begin(next);
            finishCalls();
            for (const auto &it : m_managers)
                it->poll();
            m_table.poll();
            m_clock.advance(Step);
        }
    }

    double commitsPerSecond() const
    {
        return static_cast<double>(m_table.commits) / toSeconds(Length);
    }
    double writesPerCall() const
    {
        return static_cast<double>(m_table.commits) / static_cast<double>(m_waits.size());
    }

    /// \returns the \a q quantile of the time that a claim adds to a call, in milliseconds.
    double addedTime(double q)
    {
        std::sort(m_waits.begin(), m_waits.end());
        const auto i = static_cast<std::size_t>(q * static_cast<double>(m_waits.size() - 1));
        return m_waits[i] * 1000;
    }

private:
    void begin(TimePoint at)
    {
        ClaimManager &manager = *m_managers[below(m_random, m_managers.size())];
        manager.claim({.workspace = "w",
                       .key = fmt::format("key-{}", m_nextKey++),
                       .fingerprint = "f",
                       .deadline = at + 10s},
                      [this, at, &manager](const Result<ClaimManager::Grant> &it) {
                          if (!it)
                              return;
                          m_waits.push_back(toSeconds(m_clock.now() - at));
                          m_calls.emplace(m_clock.now() + ServiceTime,
                                          std::pair(&manager, it.value().claim));
                      });
    }

    void finishCalls()
    {
        while (!m_calls.empty() && m_calls.begin()->first <= m_clock.now()) {
            const auto it = m_calls.extract(m_calls.begin());
            it.mapped().first->recordAnswer(it.mapped().second, {200, "text/plain", "done"});
        }
    }

    double m_rate;
    RandomSource m_random;
    ManualClock m_clock;
    Metrics m_metrics;
    DelayedTable m_table{m_clock};
    EmptyObjectStore m_objects;
    std::vector<std::unique_ptr<ClaimManager>> m_managers;
    std::multimap<TimePoint, std::pair<ClaimManager *, ClaimPtr>> m_calls;
    std::vector<double> m_waits;
    std::uint64_t m_nextKey = 0;
};

void measureLoad(double rate, std::size_t routers, std::uint64_t seed, const Report &report)
{
    Load load(rate, routers, seed);
    load.run();
    Figure figure;
    figure.scenario = fmt::format("{} calls/s", rate);
    figure.policy = "group commit, 5 ms or 64 rows";
    figure.routers = static_cast<int>(routers);
    figure.seed = seed;
    const auto print = [&](const char *measure, double value, const char *unit) {
        figure.measure = measure;
        figure.value = value;
        figure.unit = unit;
        report(figure);
    };
    print("claim_added_time_p50", load.addedTime(0.5), "ms");
    print("claim_added_time_p99", load.addedTime(0.99), "ms");
    print("claim_transactions", load.commitsPerSecond(), "1/s");
    print("claim_transactions_per_call", load.writesPerCall(), "1");
}

void measureClaims(std::uint64_t seed, const Report &report)
{
    for (const double rate : {10.0, 100.0, 1000.0, 10'000.0}) {
        for (const std::size_t routers : {1, 6, 50, 890})
            measureLoad(rate, routers, seed, report);
    }
}

const bool Registered =
        registerSubject({.name = "claims",
                         .summary = "cost of at-most-once claims for the store and for a call",
                         .slopes = false,
                         .run = measureClaims});

} // namespace

} // namespace catkinloft::measure
