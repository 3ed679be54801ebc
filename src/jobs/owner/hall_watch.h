#pragma once
/// \file
/// Keeps lost data halls from getting work, and lets them have work again part by part.

#include "owner_state.h"

namespace lanemoor::jobs {

/// \brief Takes the findings of the detector over into the workers' books, and logs them.
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
