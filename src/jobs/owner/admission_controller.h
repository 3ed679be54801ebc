#pragma once
/// \file
/// Computes the admission budgets of the entry instances while this instance holds the ownership.

#include "lanemoor/jobs/model/admission_grants.h"
#include "lanemoor/jobs/policy/expected_service.h"
#include "owner_state.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

/// \brief Compares each organisation's accepted work with the capacity of its pools, four times a second, and publishes grants.
class AdmissionController : public std::enable_shared_from_this<AdmissionController> {
public:
    explicit AdmissionController(const OwnerState& state)
        : m_state(state)
    {
    }

    void start();
    void close();

    /// \brief Adds a job of this term to the averages that describe a typical job of its queue.
    void noteArrival(const OwnerJob& job);

    /// \returns The last published budgets, for all entry instances together.
    [[nodiscard]] const std::vector<AdmissionBudget>& budgets() const noexcept { return m_published.budgets; }

private:
    using QueueAndOrganisation = std::pair<std::string, std::string>;
    using ByPool = std::map<std::string, std::map<QueueAndOrganisation, AcceptedWork>>;

    /// Moving averages of declared values over the latest jobs of a queue.
    struct TypicalValues {
        double workMillis = 0;
        double criticalPathMillis = 0;
        double allowedMillis = 0;
    };

    void tickLater();
    void tick();
    [[nodiscard]] std::vector<AdmissionBudget> compute() const;
    void noteUnderPressure(const std::vector<AdmissionBudget>& budgets);
    [[nodiscard]] ByPool acceptedByPool() const;
    AcceptedWork& entryOf(ByPool& accepted, const QueueAndOrganisation& name, const std::string& fallbackPool) const;
    [[nodiscard]] TypicalJob typicalJobOf(const std::string& queue) const;
    [[nodiscard]] std::map<std::string, std::int64_t> supplies(const ByPool& accepted) const;

    const OwnerState& m_state;
    TimerId m_timer = 0;
    std::map<std::string, TypicalValues> m_typicalValues; ///< By queue.
    std::map<QueueAndOrganisation, MonotonicInstant> m_underPressureUntil; ///< Queues and organisations that stay in the grants until the given time.
    AdmissionGrants m_published;
    MonotonicInstant m_publishedAt;
};

} // namespace lanemoor::jobs
