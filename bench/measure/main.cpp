#include "Base/Log.h"
#include "Measure.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of every random choice");
DEFINE_bool(slopes, false, "only the subjects that docs/CAPACITY.md is based on");
DEFINE_string(subject, "", "runs only this subject; 'list' prints the names of all subjects");

namespace catkinloft::measure {

namespace {

int runSubjects()
{
    bool found = false;
    for (const Subject &it : subjects()) {
        if (FLAGS_subject == "list") {
            fmt::print("{:<20} {}\n", it.name, it.summary);
            found = true;
        } else if ((FLAGS_subject.empty() || FLAGS_subject == it.name)
                   && (!FLAGS_slopes || it.slopes)) {
            it.run(FLAGS_seed, &printFigure);
            found = true;
        }
    }
    return found ? 0 : 2;
}

} // namespace

} // namespace catkinloft::measure

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures the decision modules under a paused clock");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    catkinloft::Log::setLevel(catkinloft::LogLevel::Error);
    return catkinloft::measure::runSubjects();
}
