#include "Slope.h"

#include <algorithm>
#include <cmath>
#include <ctime>

#include <fmt/format.h>

namespace catkinloft::measure {

Slope fitSlope(std::span<const Point> points)
{
    const auto n = static_cast<double>(points.size());
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    double largest = 0;
    for (const Point &it : points) {
        x += it.size;
        y += it.cost;
        xx += it.size * it.size;
        xy += it.size * it.cost;
        largest = std::max(largest, std::abs(it.cost));
    }
    Slope out;
    out.perUnit = (n * xy - x * y) / (n * xx - x * x);
    out.fixed = (y - out.perUnit * x) / n;
    for (const Point &it : points) {
        const double residual = std::abs(it.cost - out.fixed - out.perUnit * it.size);
        out.worstResidual = std::max(out.worstResidual, largest > 0 ? residual / largest : 0);
    }
    return out;
}

void reportSlope(const Report &report, const std::string &measure, std::span<const Point> points,
                 const std::string &unit, const std::string &per, std::uint64_t seed)
{
    const auto line = [&](const std::string &scenario, double value, const std::string &lineUnit) {
        report({.measure = measure,
                .scenario = scenario,
                .deployment = {},
                .policy = {},
                .value = value,
                .unit = lineUnit,
                .seed = seed});
    };
    for (const Point &it : points)
        line(fmt::format("{}={:g}", per, it.size), it.cost, unit);
    const Slope slope = fitSlope(points);
    line("slope", slope.perUnit, unit + "/" + per);
    line("fixed", slope.fixed, unit);
    line("worst_residual", slope.worstResidual, "share of largest");
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace catkinloft::measure
