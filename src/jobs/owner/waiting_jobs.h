#pragma once
/// \file
/// Jobs that have not started, in groups by queue and organisation. A pass inspects the first ones of each group.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/requirement.h"
#include "lanemoor/jobs/owner/job_scheduler.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace lanemoor::jobs {

struct OwnerJob;

/// Demand of a waiting job.
struct WaitingJob {
    OwnerJob* job = nullptr;
    std::map<Requirement, std::int64_t> milliCpu; ///< Demand of the startable tasks, by class.
    Resources needs; ///< Sum over the startable tasks.
    Resources largest; ///< Per resource, the largest need of any startable task.
    std::uint32_t tasks = 0; ///< Startable tasks.
    std::int64_t work = 0; ///< Declared work of the whole job, in thousandths of a core times ms.
    MonotonicInstant infeasibleFrom; ///< Time from which the job can no longer meet its objective.
};

/// \brief Waiting jobs of one organisation and queue, in the order in which they start.
///
/// Jobs that can still meet their objective come first, then jobs within the organisation's rate, then the earliest objective.
/// The sums are maintained incrementally, so that reading them is independent of the number of jobs.
class WaitingGroup {
public:
    /// Sort key: infeasible, beyond the rate, objective, id.
    using Key = std::tuple<bool, bool, MonotonicInstant, std::string>;
    using Jobs = std::map<Key, WaitingJob>;

    /// Total demand of the infeasible jobs, or of the others.
    struct Sums {
        std::map<Requirement, std::int64_t> milliCpu;
        Resources needs;
        std::uint32_t tasks = 0;
        std::int64_t work = 0;
        std::size_t jobs = 0;
    };

    void add(WaitingJob job, MonotonicInstant now);

    /// \returns Whether the group contained the job.
    bool remove(const OwnerJob& job);

    /// \brief Moves jobs that can no longer meet their objective behind the others.
    void moveInfeasible(MonotonicInstant now);

    [[nodiscard]] bool empty() const noexcept { return m_jobs.empty(); }
    [[nodiscard]] const Jobs& jobs() const noexcept { return m_jobs; }

    /// \returns The begin of the range of infeasible or other jobs.
    [[nodiscard]] Jobs::const_iterator begin(bool infeasible) const { return m_jobs.lower_bound(Key { infeasible, false, MonotonicInstant::min(), {} }); }
    [[nodiscard]] Jobs::const_iterator end(bool infeasible) const { return infeasible ? m_jobs.end() : begin(true); }

    [[nodiscard]] const Sums& sums(bool infeasible) const noexcept { return infeasible ? m_infeasible : m_timely; }

    /// \returns Per resource, the largest need of all jobs added since the group was last empty.
    [[nodiscard]] const Resources& largest() const noexcept { return m_largest; }

private:
    void updateSums(const WaitingJob& job, bool infeasible, int sign);

    Jobs m_jobs;
    std::map<std::string, Key> m_keys; ///< By job id.
    std::multimap<MonotonicInstant, std::string> m_infeasibleFrom; ///< Jobs that are still feasible; may contain jobs that have been removed.
    Sums m_timely;
    Sums m_infeasible;
    Resources m_largest;
};

/// \brief All groups, by queue and organisation.
class WaitingJobs {
public:
    using Groups = std::map<std::pair<std::string, std::string>, WaitingGroup>;

    void add(WaitingJob job, MonotonicInstant now);

    /// \returns Whether any group contained the job.
    bool remove(const OwnerJob& job);

    void moveInfeasible(MonotonicInstant now);

    [[nodiscard]] const Groups& groups() const noexcept { return m_groups; }

private:
    Groups m_groups;
};

} // namespace lanemoor::jobs
