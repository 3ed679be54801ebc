#pragma once
/// \file
/// Worker crashes that a previous owner may not have recorded.

#include "lanemoor/jobs/model/worker_control.h"

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace lanemoor::jobs {

/// \brief Evidence of worker crashes that a previous owner may not have recorded.
///
/// A start that crashes its worker ends an incarnation. Where no incarnation has ended, the waiting tasks have crashed no worker, and their
/// first start under this owner needs no record.
class InheritedFailures {
public:
    /// \param pools Pools in which incarnations ended shortly before this term; nothing: unknown, so any pool may be affected.
    void reset(std::optional<std::set<std::string>> pools);

    /// \brief An incarnation of the pool has ended, or had not responded when the tasks of previous owners were about to start again.
    void noteFailure(const std::string& pool) { m_pools.insert(pool); }

    /// \brief The worker of an adopted attempt has crashed, and the crash is not attributed to the attempt.
    void noteFailure(const std::string& job, const TaskId& task) { m_tasks.insert({ job, task }); }

    /// \returns The pools as logged: `any` or their names; empty: none.
    [[nodiscard]] std::string text() const;

    [[nodiscard]] bool includesPool(const std::string& pool) const { return m_isUnknown || m_pools.contains(pool); }
    [[nodiscard]] bool includesTask(const std::string& job, const TaskId& task) const { return m_tasks.contains({ job, task }); }

private:
    bool m_isUnknown = false;
    std::set<std::string> m_pools;
    std::set<std::pair<std::string, TaskId>> m_tasks;
};

} // namespace lanemoor::jobs
