#pragma once
/// \file
/// Requirements of tasks on an instance other than resources: a label, or proximity to data.

#include "lanemoor/jobs/model/job_spec.h"

#include <compare>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// \brief A class of tasks that require or prefer the same label.
///
/// Each task belongs to the class of its required label, or to the class of tasks that run on any instance (`{}`). A task with a
/// preferred rack also belongs to the class of that rack.
struct Requirement {
    std::string label; ///< Empty: any instance.
    bool preferred = false; ///< Tasks also run without the label, but more slowly.

    [[nodiscard]] auto operator<=>(const Requirement&) const = default;
};

/// \returns The classes to which the tasks of `step` belong.
[[nodiscard]] std::vector<Requirement> requirementsOf(const StepSpec& step);

} // namespace lanemoor::jobs
