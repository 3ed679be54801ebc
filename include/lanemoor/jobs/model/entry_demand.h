#pragma once
/// \file
/// Submissions at one entry instance, as reported to the owner.

#include <cstdint>
#include <string>

namespace lanemoor::jobs {

/// Submissions of one organisation to one queue since the last report.
struct EntryDemand {
    std::string queue;
    std::string organisation; ///< Empty: unknown, or a sum over several organisations.
    std::uint32_t admitted = 0; ///< Submissions that were stored.
    std::uint32_t refused = 0; ///< Submissions that were certainly not stored.
    std::uint64_t workMillis = 0; ///< Declared work of both in ms of one core, without long-running steps.

    [[nodiscard]] bool operator==(const EntryDemand&) const = default;
};

} // namespace lanemoor::jobs
