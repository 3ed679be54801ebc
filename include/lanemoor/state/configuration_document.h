#pragma once
/// \file
/// The operators' configuration as a JSON document.

#include "lanemoor/decisions/configuration.h"
#include "lanemoor/state/json_document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// \brief Reads the operators' configuration and reports all faults, not only the first.
///
/// \code
/// ConfigurationReader reader;
/// if (auto configuration = reader.read(text, revision))
///     use(*configuration);
/// else
///     report(reader.faults());
/// \endcode
class ConfigurationReader {
public:
    /// \param revision The store's version of the document.
    /// \returns The configuration, or nothing if the document has any fault.
    [[nodiscard]] std::optional<Configuration> read(std::string_view text, std::uint64_t revision);

    /// \returns All faults of the last `read`, in the order in which they were found.
    [[nodiscard]] const std::vector<DocumentFault>& faults() const noexcept { return m_faults; }

private:
    std::vector<DocumentFault> m_faults;
};

/// \returns `configuration` as indented JSON that `ConfigurationReader` can read. The
/// revision is not part of the document.
[[nodiscard]] std::string formatConfiguration(const Configuration& configuration);

} // namespace lanemoor
