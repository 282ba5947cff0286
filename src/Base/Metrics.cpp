#include "Base/Metrics.h"

#include <array>

#include <fmt/format.h>

namespace catkinloft {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

std::string braced(const std::string &labels, std::string_view extra = {})
{
    if (labels.empty() && extra.empty())
        return {};
    const std::string_view comma = labels.empty() || extra.empty() ? "" : ",";
    return fmt::format("{{{}{}{}}}", labels, comma, extra);
}

template<typename Map, typename Line>
void printSeries(std::string &out, const Map &series, std::string_view type, Line line)
{
    std::string_view previous;
    for (const auto &[key, value] : series) {
        if (key.first != previous)
            out += fmt::format("# TYPE {} {}\n", key.first, type);
        previous = key.first;
        line(key, value);
    }
}

template<typename Map, typename View>
auto &entry(Map &series, const View &view)
{
    const auto it = series.find(view);
    if (it != series.end())
        return it->second;
    return series[{std::string(view.name), std::string(view.labels)}];
}

} // namespace

Distribution::Distribution() : m_set(acc::extended_p_square_probabilities = Quantiles) { }

void Distribution::add(double value)
{
    m_set(value);
}

std::uint64_t Distribution::count() const
{
    return acc::count(m_set);
}

double Distribution::sum() const
{
    return count() == 0 ? 0 : acc::sum(m_set);
}

double Distribution::quantile(double q) const
{
    return count() == 0 ? 0 : acc::quantile(m_set, acc::quantile_probability = q);
}

void Metrics::count(std::string_view name, std::string_view labels, std::uint64_t n)
{
    entry(m_counters, KeyView{name, labels}) += n;
}

void Metrics::set(std::string_view name, double value, std::string_view labels)
{
    entry(m_gauges, KeyView{name, labels}) = value;
}

void Metrics::observe(std::string_view name, double value, std::string_view labels)
{
    entry(m_distributions, KeyView{name, labels}).add(value);
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const
{
    const auto it = m_counters.find(KeyView{name, labels});
    return it == m_counters.end() ? 0 : it->second;
}

void Metrics::addCollector(std::function<void(Metrics &)> collector)
{
    m_collectors.push_back(std::move(collector));
}

std::string Metrics::print()
{
    for (const auto &it : m_collectors)
        it(*this);
    std::string out;
    printSeries(out, m_counters, "counter", [&](const Key &key, std::uint64_t value) {
        out += fmt::format("{}{} {}\n", key.first, braced(key.second), value);
    });
    printSeries(out, m_gauges, "gauge", [&](const Key &key, double value) {
        out += fmt::format("{}{} {}\n", key.first, braced(key.second), value);
    });
    printSeries(out, m_distributions, "summary", [&](const Key &key, const Distribution &value) {
        for (const double q : Quantiles) {
            out += fmt::format("{}{} {}\n", key.first,
                               braced(key.second, fmt::format("quantile=\"{}\"", q)),
                               value.quantile(q));
        }
        out += fmt::format("{}_sum{} {}\n", key.first, braced(key.second), value.sum());
        out += fmt::format("{}_count{} {}\n", key.first, braced(key.second), value.count());
    });
    return out;
}

std::string Metrics::label(std::string_view name, std::string_view value)
{
    return fmt::format("{}=\"{}\"", name, value);
}

std::string Metrics::label(std::string_view name, Reason reason)
{
    return label(name, reasonInfo(reason).code);
}

} // namespace catkinloft
