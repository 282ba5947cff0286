#pragma once

#include "Base/Clock.h"
#include "Base/Reason.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace catkinloft {

/// \brief Distribution of a value, estimated in constant memory by the P-square algorithm.
class Distribution
{
public:
    Distribution();

    void add(double value);

    std::uint64_t count() const;
    double sum() const;

    /// \returns the estimated quantile \a q, which is 0.5, 0.9 or 0.99; 0 without samples.
    double quantile(double q) const;

private:
    using Set = boost::accumulators::accumulator_set<
            double,
            boost::accumulators::stats<boost::accumulators::tag::count,
                                       boost::accumulators::tag::sum,
                                       boost::accumulators::tag::extended_p_square_quantile>>;
    Set m_set;
};

/// \brief Counters, gauges and distributions of one process, printed in the Prometheus text format.
///
/// Names follow Prometheus: `catkinloft_<what>_<unit>`, counters end in `_total`.
class Metrics
{
public:
    /// \brief Adds \a n to a counter.
    /// \param labels formatted labels, for example `reason="queue_full"`. \sa label()
    void count(std::string_view name, std::string_view labels = {}, std::uint64_t n = 1);

    void refused(Reason reason) { count("catkinloft_refusals_total", label("reason", reason)); }
    void retried(Reason reason) { count("catkinloft_retries_total", label("reason", reason)); }

    void set(std::string_view name, double value, std::string_view labels = {});
    void observe(std::string_view name, double value, std::string_view labels = {});

    std::uint64_t counter(std::string_view name, std::string_view labels = {}) const;

    /// \brief Registers a function that runs before each print(), to update gauges.
    void addCollector(std::function<void(Metrics &)> collector);

    /// \returns all metrics in the Prometheus text format.
    std::string print();

    static std::string label(std::string_view name, std::string_view value);
    static std::string label(std::string_view name, Reason reason);

private:
    using Key = std::pair<std::string, std::string>;
    struct KeyView
    {
        std::string_view name;
        std::string_view labels;
    };
    struct KeyLess
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name from std
        template<typename A, typename B>
        bool operator()(const A &a, const B &b) const
        {
            return view(a) < view(b);
        }
        static std::pair<std::string_view, std::string_view> view(const Key &k)
        {
            return {k.first, k.second};
        }
        static std::pair<std::string_view, std::string_view> view(const KeyView &k)
        {
            return {k.name, k.labels};
        }
    };
    template<typename T>
    using Series = std::map<Key, T, KeyLess>;

    Series<std::uint64_t> m_counters;
    Series<double> m_gauges;
    Series<Distribution> m_distributions;
    std::vector<std::function<void(Metrics &)>> m_collectors;
};

} // namespace catkinloft
