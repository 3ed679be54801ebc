#pragma once
/// \file
/// Counts submissions at an entry instance for the owner, which otherwise learns only of stored ones.

#include "lanemoor/jobs/model/entry_demand.h"
#include "lanemoor/jobs/model/job_spec.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

/// \returns The declared work of a job in ms of one core; long-running steps are left out.
[[nodiscard]] std::uint64_t declaredWorkMillis(const JobSpec& job) noexcept;

/// \brief Sums submissions by queue and organisation until they are reported. Unreported sums are bounded: beyond `maxEntries` pairs,
/// the remaining organisations of a queue are summed under an empty name.
class DemandReport {
public:
    static constexpr std::size_t maxEntries = 512;

    void noteAdmitted(const std::string& queue, const std::string& organisation, const JobSpec& job);
    void noteRefused(const std::string& queue, const std::string& organisation, const JobSpec& job);

    [[nodiscard]] bool isEmpty() const noexcept { return m_entries.empty(); }

    /// \returns The sums since the last call.
    [[nodiscard]] std::vector<EntryDemand> take();

private:
    EntryDemand& entryOf(const std::string& queue, const std::string& organisation);

    std::map<std::pair<std::string, std::string>, EntryDemand> m_entries; ///< By queue and organisation.
};

} // namespace lanemoor::jobs
