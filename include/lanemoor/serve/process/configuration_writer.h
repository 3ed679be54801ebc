#pragma once
/// \file
/// Writes configuration changes by operators to the store.

#include "lanemoor/adapters/store.h"
#include "lanemoor/state/configuration_document.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lanemoor {

/// The store has the change.
struct ChangeAccepted {
    std::uint64_t revision = 0;
};

/// The change is based on an older revision than the store's.
struct ChangeConflict {
    std::uint64_t newerRevision = 0;
};

/// The document has faults.
struct ChangeFaulty {
    std::vector<DocumentFault> faults;
};

/// The store did not answer, so the outcome of the write is unknown.
struct ChangeOutcomeUnknown { };

/// The outcome of a change.
using ChangeResult = std::variant<ChangeAccepted, ChangeConflict, ChangeFaulty, ChangeOutcomeUnknown>;

/// \brief Writes changes by compare-and-swap only.
///
/// A change is accepted only when the store has it. If the answer to a write is lost, the outcome
/// is determined by reading back the change id, never by writing again.
class ConfigurationWriter {
public:
    /// \param changeIds Returns a new unique id on each call.
    ConfigurationWriter(Store& store, std::function<std::string()> changeIds);

    /// \brief Replaces the document of revision `base` (0 if none exists yet).
    [[nodiscard]] ChangeResult replace(std::string_view text, std::uint64_t base);

    /// \brief Applies `edit` to the latest document and retries after a concurrent change.
    [[nodiscard]] ChangeResult edit(const std::function<void(Configuration&)>& edit);

private:
    [[nodiscard]] ChangeResult write(Configuration configuration, std::uint64_t base);
    [[nodiscard]] ChangeResult readBackOutcome(const std::string& changeId);

    Store& m_store;
    std::function<std::string()> m_changeIds;
};

} // namespace lanemoor
