#include "lanemoor/jobs/model/requirement.h"

namespace lanemoor::jobs {

std::vector<Requirement> requirementsOf(const StepSpec& step)
{
    std::vector<Requirement> requirements { { .label = step.requiredLabel } };
    if (!step.preferredRack.empty())
        requirements.push_back({ .label = step.preferredRack, .preferred = true });
    return requirements;
}

} // namespace lanemoor::jobs
