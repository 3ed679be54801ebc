#pragma once
/// \file
/// Answers of an entry instance as text for people. Each function takes the JSON body.

#include <string>

namespace lanemoor {

/// \returns A problem's title and faults.
[[nodiscard]] std::string problemText(const std::string& body);

/// \returns The accepted revision.
[[nodiscard]] std::string acceptedText(const std::string& body);

[[nodiscard]] std::string poolsText(const std::string& body);
[[nodiscard]] std::string instancesText(const std::string& body);
[[nodiscard]] std::string wavesText(const std::string& body);
[[nodiscard]] std::string statusText(const std::string& body);
[[nodiscard]] std::string instanceText(const std::string& body);
[[nodiscard]] std::string jobsText(const std::string& body);

/// \returns A job with its steps: where tasks run, and why others wait.
[[nodiscard]] std::string jobText(const std::string& body);
[[nodiscard]] std::string shardsText(const std::string& body);

/// \returns What each organisation has running against its quota.
[[nodiscard]] std::string organisationsText(const std::string& body);
[[nodiscard]] std::string evacuationsText(const std::string& body);

/// \param patch A JSON patch (RFC 6902). \returns One line for each change.
[[nodiscard]] std::string patchText(const std::string& patch);

} // namespace lanemoor
