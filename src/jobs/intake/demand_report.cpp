#include "lanemoor/jobs/intake/demand_report.h"

#include <algorithm>

namespace lanemoor::jobs {

std::uint64_t declaredWorkMillis(const JobSpec& job) noexcept
{
    constexpr std::int64_t milliCpuOfCore = 1'000;
    std::int64_t work = 0;
    for (const StepSpec& step : job.steps) {
        if (!step.longRunning)
            work = std::min(work + declaredWork(step) / milliCpuOfCore, maxDeclaredWork);
    }
    return static_cast<std::uint64_t>(std::max<std::int64_t>(work, 0));
}

EntryDemand& DemandReport::entryOf(const std::string& queue, const std::string& organisation)
{
    const std::pair key(queue, organisation);
    const bool isNamed = m_entries.contains(key) || m_entries.size() < maxEntries;
    const std::string& name = isNamed ? organisation : std::string();
    EntryDemand& entry = m_entries[{ queue, name }];
    entry.queue = queue;
    entry.organisation = name;
    return entry;
}

void DemandReport::noteAdmitted(const std::string& queue, const std::string& organisation, const JobSpec& job)
{
    EntryDemand& entry = entryOf(queue, organisation);
    ++entry.admitted;
    entry.workMillis += declaredWorkMillis(job);
}

void DemandReport::noteRefused(const std::string& queue, const std::string& organisation, const JobSpec& job)
{
    EntryDemand& entry = entryOf(queue, organisation);
    ++entry.refused;
    entry.workMillis += declaredWorkMillis(job);
}

std::vector<EntryDemand> DemandReport::take()
{
    std::vector<EntryDemand> demands;
    for (auto& [key, entry] : std::exchange(m_entries, {}))
        demands.push_back(std::move(entry));
    return demands;
}

} // namespace lanemoor::jobs
