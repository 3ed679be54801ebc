#pragma once
/// \file
/// Where an owner before this one may have lost a worker without recording it.

#include "lanemoor/jobs/model/worker_control.h"

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace lanemoor::jobs {

/// \brief Evidence of crashes that a previous owner may not have recorded.
///
/// A start that crashed its worker leaves a life that is over. Where no life has ended, the tasks that wait have crashed none, and their first
/// start under this owner needs no record.
class InheritedLosses {
public:
    /// \param pools With lives that ended shortly before this term; nothing: unknown, any pool may have some.
    void begin(std::optional<std::set<std::string>> pools);

    /// \brief A life of the pool ended, or had not answered when the tasks of previous owners were to start again.
    void noteLoss(const std::string& pool) { m_pools.insert(pool); }

    /// \brief The worker of an adopted attempt was lost, which is not attributed to it.
    void noteLoss(const std::string& job, const TaskId& task) { m_tasks.insert({ job, task }); }

    /// \returns The pools as they stand in logs: `any` or their names; empty: none.
    [[nodiscard]] std::string text() const;

    [[nodiscard]] bool concernPool(const std::string& pool) const { return m_isUnknown || m_pools.contains(pool); }
    [[nodiscard]] bool concernTask(const std::string& job, const TaskId& task) const { return m_tasks.contains({ job, task }); }

private:
    bool m_isUnknown = false;
    std::set<std::string> m_pools;
    std::set<std::pair<std::string, TaskId>> m_tasks;
};

} // namespace lanemoor::jobs
