#pragma once
/// \file
/// Capacity on other workers of the pool for a task that is to be moved.

#include "owner_state.h"

#include <map>

namespace lanemoor::jobs {

/// \brief Searches for capacity on other workers. Caches the free capacity of each worker; valid for one pass.
class AlternativeWorkers {
public:
    explicit AlternativeWorkers(const OwnerState& state)
        : m_state(state)
    {
    }

    /// \param avoidLabel Workers with this label are excluded; empty: none.
    /// \returns Whether an open worker other than `worker` has capacity for one more task of the step.
    [[nodiscard]] bool hasRoomFor(const JobState& job, const StepId& step, const WorkerRecord& worker, const std::string& avoidLabel = {});

    /// \brief Reserves capacity for a task of `step` that is being moved, so that the same capacity is not
    /// used twice.
    void reserve(const StepSpec& step) { m_reserved += footprint(step); }

    [[nodiscard]] const Resources& freeOn(const WorkerRecord& worker);

private:
    const OwnerState& m_state;
    Resources m_reserved;
    std::map<std::string, Resources> m_free; ///< By worker.
};

} // namespace lanemoor::jobs
