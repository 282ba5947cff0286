#include "fleet/LoadReport.h"

#include <algorithm>

#include <fmt/format.h>

namespace catkinloft::standin {

namespace {

constexpr std::size_t MaxNotes = 10;

} // namespace

Duration LoadReport::quantile(double share) const
{
    if (latencies.empty())
        return Duration::zero();
    std::vector<Duration> sorted = latencies;
    std::sort(sorted.begin(), sorted.end());
    const auto i = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(i, sorted.size() - 1)];
}

double LoadReport::skew(int engines) const
{
    double sum = 0;
    double most = 0;
    for (const auto &[name, work] : workByEngine) {
        sum += work;
        most = std::max(most, work);
    }
    return sum > 0 ? most * engines / sum : 0;
}

std::string LoadReport::summary() const
{
    std::string out = fmt::format(
            "requests {} answered {} refused {} attempts {} executions {} lost {} doubled {} "
            "crossed {} truncated {} untrue_not_run {} unexplained {}",
            requests, answered, refused, attempts, executions, lost, doubled, crossed, truncated,
            untrueNotRun, unexplained);
    for (const auto &[code, n] : reasons)
        out += fmt::format("; {} {}", code, n);
    for (const std::string &it : notes)
        out += "\n  " + it;
    return out;
}

void LoadReport::addNote(std::string line)
{
    if (notes.size() < MaxNotes)
        notes.push_back(std::move(line));
}

} // namespace catkinloft::standin
