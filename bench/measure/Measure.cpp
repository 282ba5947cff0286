#include "Measure.h"

#include <algorithm>

namespace catkinloft::measure {

namespace {

std::vector<Subject> &registry()
{
    static std::vector<Subject> all;
    return all;
}

} // namespace

bool registerSubject(Subject subject)
{
    registry().push_back(std::move(subject));
    return true;
}

std::vector<Subject> subjects()
{
    std::vector<Subject> out = registry();
    std::sort(out.begin(), out.end(),
              [](const Subject &a, const Subject &b) { return a.name < b.name; });
    return out;
}

} // namespace catkinloft::measure
