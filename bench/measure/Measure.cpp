#include "Measure.h"

#include "Base/Log.h"

#include <algorithm>
#include <cstdio>

#include <fmt/format.h>

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

void printFigure(const Figure &it)
{
    fmt::print(R"({{"measure":{},"scenario":{},"deployment":{},"policy":{},"routers":{},)"
               R"("engines":{},"value":{:.6g},"unit":{},"seed":{}}})"
               "\n",
               jsonQuoted(it.measure), jsonQuoted(it.scenario), jsonQuoted(it.deployment),
               jsonQuoted(it.policy), it.routers, it.engines, it.value, jsonQuoted(it.unit),
               it.seed);
    std::fflush(stdout);
}

} // namespace catkinloft::measure
