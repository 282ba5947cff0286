#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloft::measure {

/// \brief One measured figure, printed as one JSON line.
struct Figure
{
    std::string measure; ///< Name of the measured quantity, such as `skew`.
    std::string scenario;
    std::string deployment;
    std::string policy;
    int routers = 0;
    int engines = 0;
    double value = 0;
    std::string unit;
    std::uint64_t seed = 0;
};

/// \brief Prints \a figure as one JSON line to standard output.
void printFigure(const Figure &figure);

using Report = std::function<void(const Figure &)>;

/// \brief A group of measurements that belong together.
struct Subject
{
    std::string_view name;
    std::string_view summary;
    bool slopes; ///< Whether it runs with `--slopes`.
    std::function<void(std::uint64_t seed, const Report &report)> run;
};

/// \brief Registers \a subject; intended to initialize a `const bool` at namespace scope.
bool registerSubject(Subject subject);

/// \returns all subjects, sorted by name.
std::vector<Subject> subjects();

} // namespace catkinloft::measure
