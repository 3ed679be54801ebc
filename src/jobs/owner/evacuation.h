#pragma once
/// \file
/// Empties workers that are to be maintained, moved or that drain.

#include "order_desk.h"
#include "other_sites.h"

#include <set>
#include <string>
#include <utility>

namespace lanemoor::jobs {

/// \brief Stops long-running tasks on workers that are being emptied, so that they start
/// elsewhere; never more of a step at once than its disruption budget allows. Batch tasks are
/// left to end by themselves for a while; in an evacuated data hall those with a checkpoint move that take longer there than elsewhere.
/// On a worker that lives on, tasks stay that need a label and
/// would find no room elsewhere: they go when another instance with it has come.
class Evacuation {
public:
    Evacuation(OwnerState& state, OrderDesk& orders);

    void run();

private:
    void empty(WorkerBook& worker);
    [[nodiscard]] bool mayStop(const Attempt& attempt, const Reservation& booking, const WorkerBook& worker);
    [[nodiscard]] bool isBatchToMove(const JobState& job, const Attempt& attempt, const Reservation& booking, const WorkerBook& worker);

    OwnerState& m_state;
    OrderDesk& m_orders;
    OtherSites m_others;
    /// Pools and labels of which a batch task found no room elsewhere: no other one of the kind is looked at in this run.
    std::set<std::pair<std::string, std::string>> m_full;
};

/// \returns Whether the budget of its step allows that a long-running task is taken away now.
[[nodiscard]] bool mayDisrupt(const OwnerState& state, const JobState& job, const TaskId& task);

/// \returns Tasks of `step`, other than `except`, that are not at work as far as their workers tell.
[[nodiscard]] std::uint32_t tasksAway(const OwnerState& state, const JobState& job, const StepId& step, std::uint32_t except);

} // namespace lanemoor::jobs
