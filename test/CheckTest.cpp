#include "Cli/internal/CheckFile.h"

#include <doctest/doctest.h>

#include <fstream>
#include <string>

#include <fmt/format.h>

using namespace catkinloft;

namespace {

const std::string Data = CATKINLOFT_TEST_DATA;

} // namespace

TEST_CASE("checkFile_invalidFile_reportsFileKeyAndLine")
{
    std::ifstream list(Data + "/bad/expected.txt");
    int files = 0;
    for (std::string line; std::getline(list, line); ++files) {
        const std::string file = line.substr(0, line.find('|'));
        const std::string expected = line.substr(line.find('|') + 1);
        CAPTURE(file);
        YamlProblems problems;
        internal::checkFile(fmt::format("{}/bad/{}", Data, file), problems);
        REQUIRE_FALSE(problems.empty());
        CAPTURE(problems.front().text());
        CHECK(problems.front().text().find(file) != std::string::npos);
        CHECK(problems.front().text().find(expected) != std::string::npos);
        CHECK(problems.front().line > 0);
    }
    CHECK(files >= 50);
}

TEST_CASE("checkFile_validFiles_reportsNoProblem")
{
    YamlProblems problems;
    internal::checkFile(Data + "/good-settings.yaml", problems);
    internal::checkFile(Data + "/good-inventory.yaml", problems);
    CHECK(problems.empty());
}

TEST_CASE("checkFile_missingFile_reportsThatItCannotBeRead")
{
    YamlProblems problems;
    internal::checkFile(Data + "/no-such-file.yaml", problems);
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().message == "can not be read");
}
