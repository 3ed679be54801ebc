#pragma once
/// \file
/// Attributes failed tasks to their step or to the workers that they failed on. Pure.

#include <cstddef>
#include <set>
#include <string>

namespace lanemoor::jobs {

/// \brief Outcomes of one step's tasks over all workers.
///
/// A failed task is evidence against its worker as well as against its step. A step that has failed on several workers and worked on none
/// is at fault itself; one that works elsewhere is not.
class StepOutcomes {
public:
    /// \brief Records that a task of the step succeeded, or is ready if it is long-running.
    void noteSuccess();

    /// \brief Records that a task of the step failed on `worker`.
    void noteFailure(const std::string& worker);

    /// \returns Whether the failures are attributed to the step, and thus are no evidence against the workers.
    [[nodiscard]] bool isStepAtFault() const noexcept { return m_failedOn.size() >= workersToAttribute; }

private:
    static constexpr std::size_t workersToAttribute = 2;

    bool m_hasSucceeded = false;
    std::set<std::string> m_failedOn; ///< Distinct workers, up to `workersToAttribute`; empty once a task has succeeded.
};

} // namespace lanemoor::jobs
