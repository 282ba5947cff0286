#pragma once

#include "Measure.h"

#include <span>
#include <string>

namespace catkinloft::measure {

/// \brief A size and its measured cost.
struct Point
{
    double size = 0;
    double cost = 0;
};

/// \brief A least-squares line through points.
struct Slope
{
    double perUnit = 0;
    double fixed = 0; ///< At size 0.
    double worstResidual = 0; ///< Largest absolute residual, as a share of the largest cost.
};

/// \returns the least-squares line through \a points, which must be at least two.
Slope fitSlope(std::span<const Point> points);

/// \brief Reports each point, the slope, the fixed part and the worst residual under \a measure.
/// \param unit unit of the cost.
/// \param per name of the unit that the size counts.
void reportSlope(const Report &report, const std::string &measure, std::span<const Point> points,
                 const std::string &unit, const std::string &per, std::uint64_t seed);

/// \returns the processor time that this process has used, in seconds.
double processorSeconds();

} // namespace catkinloft::measure
