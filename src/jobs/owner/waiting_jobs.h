#pragma once
/// \file
/// Jobs of organisations of which nothing has begun. A pass looks at the first ones of each organisation and queue.

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

/// What a waiting job asks for.
struct WaitingJob {
    OwnerJob* job = nullptr;
    std::map<Requirement, std::int64_t> milliCpu; ///< Of the tasks that could start, by class.
    Resources needs; ///< Of the same.
    Resources largest; ///< Of the same, the largest need of each resource.
    std::uint32_t tasks = 0; ///< That could start.
    std::int64_t work = 0; ///< Of the whole job, declared: thousandths of a core times ms.
    MonotonicInstant hopelessFrom; ///< Its objective can't be met from then on.
};

/// \brief Waiting jobs of one organisation and queue, in the order in which they start.
///
/// Those that can still meet their objective come first, of these those within the organisation's rate, then the earliest objective.
/// Sums are kept up to date, so that nobody has to walk the jobs for them.
class WaitingGroup {
public:
    /// Hopeless, beyond the rate, objective, id.
    using Key = std::tuple<bool, bool, MonotonicInstant, std::string>;
    using Jobs = std::map<Key, WaitingJob>;

    /// What all jobs of one kind ask for together.
    struct Sums {
        std::map<Requirement, std::int64_t> milliCpu;
        Resources needs;
        std::uint32_t tasks = 0;
        std::int64_t work = 0;
        std::size_t jobs = 0;
    };

    void add(WaitingJob job, MonotonicInstant now);

    /// \returns Whether the job was there.
    bool remove(const OwnerJob& job);

    /// \brief Puts jobs behind the others whose objective can't be met from now on.
    void age(MonotonicInstant now);

    [[nodiscard]] bool empty() const noexcept { return m_jobs.empty(); }
    [[nodiscard]] const Jobs& jobs() const noexcept { return m_jobs; }

    /// \returns The first job that is hopeless or not, or the end of what there is of it.
    [[nodiscard]] Jobs::const_iterator begin(bool hopeless) const { return m_jobs.lower_bound(Key { hopeless, false, MonotonicInstant::min(), {} }); }
    [[nodiscard]] Jobs::const_iterator end(bool hopeless) const { return hopeless ? m_jobs.end() : begin(true); }

    [[nodiscard]] const Sums& sums(bool hopeless) const noexcept { return hopeless ? m_hopeless : m_urgent; }

    /// \returns Of all jobs since there were none, the largest need of each resource.
    [[nodiscard]] const Resources& largest() const noexcept { return m_largest; }

private:
    void count(const WaitingJob& job, bool hopeless, int sign);

    Jobs m_jobs;
    std::map<std::string, Key> m_keys; ///< By id of the job.
    std::multimap<MonotonicInstant, std::string> m_hopelessFrom; ///< Of those that are not; some may be gone.
    Sums m_urgent;
    Sums m_hopeless;
    Resources m_largest;
};

/// \brief All groups, by queue and organisation.
class WaitingJobs {
public:
    using Groups = std::map<std::pair<std::string, std::string>, WaitingGroup>;

    void add(WaitingJob job, MonotonicInstant now);

    /// \returns Whether the job was there.
    bool remove(const OwnerJob& job);

    void age(MonotonicInstant now);

    [[nodiscard]] const Groups& groups() const noexcept { return m_groups; }

private:
    Groups m_groups;
};

} // namespace lanemoor::jobs
