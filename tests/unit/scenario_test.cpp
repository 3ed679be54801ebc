// Runs every scenario under tests/scenarios.

#include "support/scenario.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace lanemoor::test;

namespace {

std::vector<std::filesystem::path> scenarioFiles()
{
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(LANEMOOR_SCENARIOS)) {
        if (entry.path().extension() == ".scenario")
            files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

TEST_CASE("scenarios")
{
    for (const std::filesystem::path& file : scenarioFiles()) {
        DYNAMIC_SECTION(file.filename().string())
        {
            std::ifstream in(file);
            const ScenarioResult result = runScenario(std::string(std::istreambuf_iterator<char>(in), {}));
            std::string failures;
            for (std::size_t i = 0; i < std::min<std::size_t>(result.failures.size(), 5); ++i)
                failures += result.failures[i] + '\n';
            INFO(result.summary);
            INFO(result.failures.size() << " failures, first:\n"
                                        << failures);
            CHECK(result.passed());
        }
    }
}

TEST_CASE("unreadable lines of a scenario are reported with their numbers")
{
    const ScenarioResult result = runScenario("fleet halls 1 racks 1 workers x\nat 3 dance\nsteps 5\n");
    REQUIRE(result.failures.size() == 2);
    CHECK(result.failures[0].find("line 1: ") == 0);
    CHECK(result.failures[1].find("line 2: ") == 0);
}
