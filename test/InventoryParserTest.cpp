#include "Base/InventoryParser.h"
#include "Base/Random.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <vector>

using namespace catkinloft;

namespace {

std::string workspaceEntry(int i, int weight)
{
    return fmt::format("  - name: w{0}\n    key_sha256: {0:064x}\n    weight: {1}\n", i, weight);
}

std::string engineEntry(int i, int slots)
{
    return fmt::format("  - {{name: e{0}, model: m, address: \"10.0.0.{0}:80\", failure_domain: a, "
                       "slots: {1}}}\n",
                       i, slots);
}

struct ParsedInventoryFixture
{
    ParsedInventoryFixture()
    {
        for (int i = 1; i <= 20; ++i) {
            engines.push_back(engineEntry(i, i));
            workspaces.push_back(workspaceEntry(i, i));
        }
        REQUIRE(parse());
    }

    std::string text() const
    {
        std::string out = "places: [{name: a, region: r}]\nengines:\n";
        for (const std::string &it : engines)
            out += it;
        out += "# people\nworkspaces:\n";
        for (const std::string &it : workspaces)
            out += it;
        return out + tail;
    }

    InventoryPtr parse() { return parser.parse(text(), "i.yaml", ++revision, problems); }

    /// Checks that the incremental parser and the full parser return the same result and problems.
    void checkSame()
    {
        YamlProblems expectedProblems;
        problems.clear();
        const InventoryPtr expected =
                Inventory::parse(text(), "i.yaml", revision + 1, expectedProblems);
        const InventoryPtr found = parse();
        REQUIRE(bool(expected) == bool(found));
        REQUIRE(problems.size() == expectedProblems.size());
        for (std::size_t i = 0; i < problems.size(); ++i)
            CHECK(problems[i].text() == expectedProblems[i].text());
        if (!found)
            return;
        CHECK(found->engines == expected->engines);
        CHECK(found->workspaces == expected->workspaces);
        CHECK(found->rules == expected->rules);
        CHECK(found->places == expected->places);
        CHECK(found->revision == expected->revision);
        CHECK(found->enginesOf("m") == expected->enginesOf("m"));
    }

    InventoryParser parser;
    YamlProblems problems;
    std::uint64_t revision = 0;
    std::vector<std::string> engines;
    std::vector<std::string> workspaces;
    std::string tail = "rules:\n  load_bound: 1.25\n";
};

} // namespace

TEST_CASE_FIXTURE(ParsedInventoryFixture, "inventoryParser_oneEntryChanged_readsOnlyThatEntry")
{
    engines[4] = engineEntry(5, 99);
    checkSame();
    CHECK(parser.entriesRead() == 1);
    workspaces.erase(workspaces.begin());
    checkSame();
    CHECK(parser.entriesRead() == 0);
}

TEST_CASE_FIXTURE(ParsedInventoryFixture, "inventoryParser_duplicateName_reportsFullParserProblems")
{
    engines[4] = engineEntry(6, 99);
    checkSame();
    CHECK(problems.size() == 2);
}

TEST_CASE_FIXTURE(ParsedInventoryFixture, "inventoryParser_placeRemoved_reportsKnownEngines")
{
    tail = "";
    std::string gone = text();
    gone.replace(gone.find("name: a"), 7, "name: b");
    CHECK_FALSE(parser.parse(gone, "i.yaml", 9, problems));
    CHECK(problems.size() == 20);
}

TEST_CASE_FIXTURE(ParsedInventoryFixture, "inventoryParser_yamlBeyondLines_agreesWithFullParser")
{
    // Anchors, block scalars, quoted text over several lines, a document marker, unusual
    // indentation, lists in flow style and malformed texts. The full parser decides what is valid.
    for (const char *it :
         {"rules: &r\n  load_bound: 1.5\n", "rules:\n  load_bound: |\n    1.5\n",
          "rules:\n  load_bound: \"1.\n  5\"\n", "---\nrules: {}\n", "operators:\n- name: x\n",
          "operators: [{name: o,\n key_sha256: x}]\n", "rules:\n\tload_bound: 2\n",
          "engines:\n  - {name: again}\n", "nonsense\n", "- item\n"}) {
        CAPTURE(it);
        tail = it;
        checkSame();
    }
}

TEST_CASE_FIXTURE(ParsedInventoryFixture, "inventoryParser_randomEdits_agreesWithFullParser")
{
    const RandomSource random = seededRandom(7);
    for (int step = 0; step < 300; ++step) {
        CAPTURE(step);
        auto &list = random() % 2 ? engines : workspaces;
        const auto make = &list == &engines ? engineEntry : workspaceEntry;
        const std::size_t i = below(random, list.size());
        switch (below(random, 5)) {
        case 0:
            list.insert(list.begin() + std::ptrdiff_t(i), make(int(30 + below(random, 60)), 3));
            break;
        case 1:
            if (list.size() > 2)
                list.erase(list.begin() + std::ptrdiff_t(i));
            break;
        case 2:
            std::swap(list[i], list.front());
            break;
        case 3: {
            // Replaces one byte by a random one, and restores it after the comparison.
            const std::string before = list[i];
            list[i][below(random, before.size())] = "{}[]:-#\"' x\n&"[below(random, 13)];
            checkSame();
            list[i] = before;
            break;
        }
        default:
            tail = fmt::format("rules:\n  load_bound: 1.{}\n", 10 + below(random, 80));
        }
        checkSame();
    }
}
