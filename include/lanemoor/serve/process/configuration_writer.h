#pragma once
/// \file
/// Writes operators' changes of the configuration to the store.

#include "lanemoor/adapters/store.h"
#include "lanemoor/state/configuration_document.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lanemoor {

/// The store holds the change.
struct ChangeAccepted {
    std::uint64_t revision = 0;
};

/// The change was made on an older revision than the store's.
struct ChangeConflict {
    std::uint64_t newerRevision = 0;
};

/// The document has faults.
struct ChangeFaulty {
    std::vector<DocumentFault> faults;
};

/// The store did not answer; whether it holds the change could not be found out.
struct ChangeUnsettled { };

/// How a change went.
using ChangeResult = std::variant<ChangeAccepted, ChangeConflict, ChangeFaulty, ChangeUnsettled>;

/// \brief Accepts changes by compare-and-swap only.
///
/// A change is accepted only when the store holds it. A write whose answer is lost is
/// settled by reading back the change's id, never by writing again.
class ConfigurationWriter {
public:
    /// \param changeIds Gives a new unique id with each call.
    ConfigurationWriter(Store& store, std::function<std::string()> changeIds);

    /// \brief Replaces the document, made on revision `base` (0: there is none yet).
    [[nodiscard]] ChangeResult replace(std::string_view text, std::uint64_t base);

    /// \brief Changes the newest document by `edit`, again if another change came between.
    [[nodiscard]] ChangeResult edit(const std::function<void(Configuration&)>& edit);

private:
    [[nodiscard]] ChangeResult write(Configuration configuration, std::uint64_t base);
    [[nodiscard]] ChangeResult settle(const std::string& changeId);

    Store& m_store;
    std::function<std::string()> m_changeIds;
};

} // namespace lanemoor
