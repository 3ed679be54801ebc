#pragma once
/// \file
/// Whether a task that would be taken off its worker could run on another one of the pool.

#include "owner_state.h"

#include <map>

namespace lanemoor::jobs {

/// \brief Looks for room on other workers. Lives for one pass, and remembers what is free.
class OtherSites {
public:
    explicit OtherSites(const OwnerState& state)
        : m_state(state)
    {
    }

    /// \param avoidLabel Workers with it don't count; empty: all do.
    /// \returns Whether an open worker other than `worker` has room for one more task of the step.
    [[nodiscard]] bool hasRoomFor(const JobState& job, const StepId& step, const WorkerBook& worker, const std::string& avoidLabel = {});

    /// \brief Counts a task of `step` as on its way to another worker, so that its room is not
    /// promised twice.
    void promise(const StepSpec& step) { m_promised += footprint(step); }

    [[nodiscard]] const Resources& freeOn(const WorkerBook& worker);

private:
    const OwnerState& m_state;
    Resources m_promised;
    std::map<std::string, Resources> m_free; ///< By worker.
};

} // namespace lanemoor::jobs
