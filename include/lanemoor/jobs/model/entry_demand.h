#pragma once
/// \file
/// What one entry instance was asked for, as it reports it to the owner.

#include <cstdint>
#include <string>

namespace lanemoor::jobs {

/// Submissions of one organisation to one queue since the last report.
struct EntryDemand {
    std::string queue;
    std::string organisation; ///< Empty: not known.
    std::uint32_t admitted = 0; ///< Submissions that were stored.
    std::uint32_t refused = 0; ///< Submissions that were certainly not stored.
    std::uint64_t workMillis = 0; ///< Declared work of both, in ms of one core. Long-running steps are left out.

    [[nodiscard]] bool operator==(const EntryDemand&) const = default;
};

} // namespace lanemoor::jobs
