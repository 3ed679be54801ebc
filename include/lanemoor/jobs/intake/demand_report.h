#pragma once
/// \file
/// Counts submissions for the owner, which hears of stored ones only.

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

/// \brief Sums submissions by queue and organisation until they are reported. What is not reported is bounded: beyond
/// `maxEntries` pairs, organisations stand together without a name.
class DemandReport {
public:
    static constexpr std::size_t maxEntries = 512;

    void noteAdmitted(const std::string& queue, const std::string& organisation, const JobSpec& job);
    void noteRefused(const std::string& queue, const std::string& organisation, const JobSpec& job);

    [[nodiscard]] bool isEmpty() const noexcept { return m_entries.empty(); }

    /// \returns What was noted since the last call.
    [[nodiscard]] std::vector<EntryDemand> take();

private:
    EntryDemand& entryOf(const std::string& queue, const std::string& organisation);

    std::map<std::pair<std::string, std::string>, EntryDemand> m_entries; ///< By queue and organisation.
};

} // namespace lanemoor::jobs
