#pragma once
/// \file
/// The command line of the lanemoor binary.

namespace lanemoor {

/// Exit codes; scripts depend on the values.
enum class ExitCode : int {
    Done = 0,
    Refused = 1, ///< Refused or failed; the reason is printed.
    WrongUsage = 2,
};

/// \brief Runs the command named by the first argument.
/// \returns The exit code of the process.
[[nodiscard]] int runCommandLine(int count, char** arguments);

} // namespace lanemoor
