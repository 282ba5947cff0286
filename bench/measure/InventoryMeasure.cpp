#include "Base/Hash.h"
#include "Base/InventoryParser.h"
#include "Slope.h"
#include "fleet/ProcessUsage.h"

#include <array>
#include <stdexcept>
#include <string>

#include <fmt/format.h>
#include <unistd.h>

namespace catkinloft::measure {

namespace {

constexpr std::array EngineCounts = {1000, 2500, 5000, 10000};
constexpr int DomainCount = 25;

/// \returns an inventory of a fleet of full size, except for the number of engines.
std::string inventoryText(int engines)
{
    std::string out = "places:\n";
    for (int i = 0; i < DomainCount; ++i)
        out += fmt::format("  - {{name: domain-{}, region: region-{}}}\n", i, i % 12);
    out += "engines:\n";
    for (int i = 0; i < engines; ++i) {
        out += fmt::format(
                "  - {{name: engine-{0}, model: model-{1}, address: \"10.{2}.{3}.{4}:80\","
                " failure_domain: domain-{5}, slots: 64}}\n",
                i, i % 11, i / 65536, i / 256 % 256, i % 256, i % DomainCount);
    }
    out += "workspaces:\n";
    for (int i = 0; i < 3600; ++i) {
        out += fmt::format("  - {{name: workspace-{}, key_sha256: {}}}\n", i,
                           sha256Hex(std::to_string(i)));
    }
    return out;
}

/// \returns the mean time over Changes revisions that each change the slots of one engine.
double secondsOfOneChange(InventoryParser &parser, const std::string &text)
{
    constexpr int Changes = 10;
    YamlProblems problems;
    const std::size_t at = text.find("slots: 64");
    const double before = processorSeconds();
    for (int i = 0; i < Changes; ++i) {
        std::string next = text;
        next.replace(at, 9, fmt::format("slots: {}", 10 + i));
        if (!parser.parse(next, "measure", 2 + std::uint64_t(i), problems)
            || parser.entriesRead() != 1)
            throw std::runtime_error(
                    "the parser did not read exactly one entry for a change of one entry");
    }
    return (processorSeconds() - before) / Changes;
}

void measureInventory(std::uint64_t seed, const Report &report)
{
    std::vector<Point> bytes;
    std::vector<Point> seconds;
    std::vector<Point> memory;
    std::vector<Point> change;
    for (const int engines : EngineCounts) {
        const std::string text = inventoryText(engines);
        YamlProblems problems;
        const double before = processorSeconds();
        InventoryParser parser;
        const InventoryPtr inventory = parser.parse(text, "measure", 1, problems);
        const double spent = processorSeconds() - before;
        if (!inventory)
            throw std::runtime_error(problems.front().text());
        change.push_back({.size = double(engines), .cost = secondsOfOneChange(parser, text)});
        bytes.push_back({.size = double(engines), .cost = double(text.size())});
        seconds.push_back({.size = double(engines), .cost = spent});
        memory.push_back({.size = double(engines), .cost = standin::residentBytes(getpid())});
    }
    reportSlope(report, "inventory_text", bytes, "B", "engine", seed);
    reportSlope(report, "inventory_parse_cpu", seconds, "s", "engine", seed);
    reportSlope(report, "inventory_change_cpu", change, "s", "engine", seed);
    reportSlope(report, "inventory_peak_memory", memory, "B", "engine", seed);
}

const bool Registered = registerSubject(
        {.name = "inventory",
         .summary = "size, parse time and memory of an inventory by number of engines",
         .slopes = true,
         .run = &measureInventory});

} // namespace

} // namespace catkinloft::measure
