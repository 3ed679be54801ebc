#pragma once
/// \file
/// Runs scenarios written in a small text language; see tests/scenarios/README.md.

#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::test {

/// Result of a scenario.
struct ScenarioResult {
    std::vector<std::string> failures; ///< Each starts with the line of the scenario or the step.
    std::string summary; ///< Steps, moves, writes, and the final status of each pool.

    [[nodiscard]] bool passed() const noexcept { return failures.empty(); }
};

/// \brief Runs a scenario against the controller with a fake clock.
/// \param text The scenario. Each line that can't be parsed counts as a failure.
[[nodiscard]] ScenarioResult runScenario(std::string_view text);

} // namespace lanemoor::test
