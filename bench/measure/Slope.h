#pragma once

#include "Measure.h"

#include <span>
#include <string>

namespace catkinloft::measure {

/// \brief A size and what it cost.
struct Point
{
    double size = 0;
    double cost = 0;
};

/// \brief The straight line that fits points best.
struct Slope
{
    double perUnit = 0;
    double fixed = 0; ///< At size 0.
    double worstResidual = 0; ///< Largest distance of a point, as a share of the largest cost.
};

/// \returns the least-squares line through \a points, of which there are at least two.
Slope fitSlope(std::span<const Point> points);

/// \brief Reports each point, the slope, the fixed part and the worst residual under \a measure.
/// \param unit of the cost; \param per what the size counts.
void reportSlope(const Report &report, const std::string &measure, std::span<const Point> points,
                 const std::string &unit, const std::string &per, std::uint64_t seed);

/// \returns the processor time that this process has used, in seconds.
double processorSeconds();

} // namespace catkinloft::measure
