#pragma once
/// \file
/// Scripted scenarios in a small text language; see tests/scenarios/README.md.

#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::test {

/// What a scenario came to.
struct ScenarioResult {
    std::vector<std::string> failures; ///< Each with the line of the scenario or the step.
    std::string summary; ///< Steps, moves, writes, and how each pool stood at the end.

    [[nodiscard]] bool passed() const noexcept { return failures.empty(); }
};

/// \brief Runs a scenario against the decisions, under a fake clock.
/// \param text The scenario. A line that can't be read is a failure of its own.
[[nodiscard]] ScenarioResult runScenario(std::string_view text);

} // namespace lanemoor::test
