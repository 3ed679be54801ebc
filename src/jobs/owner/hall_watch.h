#pragma once
/// \file
/// Excludes lost data halls from placement, and readmits their workers step by step.

#include "owner_state.h"

namespace lanemoor::jobs {

/// \brief Applies the findings of the detector to the worker records, and logs them.
class HallWatch {
public:
    explicit HallWatch(OwnerState& state)
        : m_state(state)
    {
    }

    void run();

private:
    void note(const HallChange& change);

    OwnerState& m_state;
};

} // namespace lanemoor::jobs
