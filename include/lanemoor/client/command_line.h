#pragma once
/// \file
/// The command line of the one binary.

namespace lanemoor {

/// Exit codes, as scripts rely on them.
enum class ExitCode : int {
    Done = 0,
    Refused = 1, ///< Refused or failed; the reason was printed.
    WrongUsage = 2,
};

/// \brief Runs the command that `arguments` name.
/// \returns The exit code of the process.
[[nodiscard]] int runCommandLine(int count, char** arguments);

} // namespace lanemoor
