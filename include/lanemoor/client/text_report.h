#pragma once
/// \file
/// Formats answers of an entry instance or job service as text. Each function takes the JSON body.

#include <string>

namespace lanemoor {

/// \returns The title and faults of a problem document.
[[nodiscard]] std::string problemText(const std::string& body);

/// \returns The accepted revision.
[[nodiscard]] std::string acceptedText(const std::string& body);

[[nodiscard]] std::string poolsText(const std::string& body);
[[nodiscard]] std::string instancesText(const std::string& body);
[[nodiscard]] std::string wavesText(const std::string& body);
[[nodiscard]] std::string statusText(const std::string& body);
[[nodiscard]] std::string instanceText(const std::string& body);
[[nodiscard]] std::string jobsText(const std::string& body);

/// \returns A job with its steps, the workers of running tasks and the reasons why others wait.
[[nodiscard]] std::string jobText(const std::string& body);
[[nodiscard]] std::string shardsText(const std::string& body);

/// \returns The resources each organisation uses, compared with its quota.
[[nodiscard]] std::string organisationsText(const std::string& body);
[[nodiscard]] std::string evacuationsText(const std::string& body);

/// \param patch A JSON patch (RFC 6902).
/// \returns One line for each change.
[[nodiscard]] std::string patchText(const std::string& patch);

} // namespace lanemoor
