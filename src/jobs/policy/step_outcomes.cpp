#include "lanemoor/jobs/policy/step_outcomes.h"

namespace lanemoor::jobs {

void StepOutcomes::noteSuccess()
{
    m_hasSucceeded = true;
    m_failedOn.clear();
}

void StepOutcomes::noteFailure(const std::string& worker)
{
    if (!m_hasSucceeded && !isStepAtFault())
        m_failedOn.insert(worker);
}

} // namespace lanemoor::jobs
