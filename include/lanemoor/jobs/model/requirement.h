#pragma once
/// \file
/// What tasks ask of an instance beyond room: a label, or to be near their data.

#include "lanemoor/jobs/model/job_spec.h"

#include <compare>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// \brief A class of tasks, by the label that an instance should have.
///
/// A task counts in the class of its required label, or in that of tasks that run on any instance
/// (`{}`); besides, in the class of the rack that it prefers.
struct Requirement {
    std::string label; ///< Empty: any instance.
    bool preferred = false; ///< Tasks run without the label too, but slower.

    [[nodiscard]] auto operator<=>(const Requirement&) const = default;
};

/// \returns The classes of `step`'s tasks.
[[nodiscard]] std::vector<Requirement> requirementsOf(const StepSpec& step);

} // namespace lanemoor::jobs
