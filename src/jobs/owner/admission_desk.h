#pragma once
/// \file
/// Computes what entry instances may admit, while this instance owns.

#include "lanemoor/jobs/model/admission_grants.h"
#include "lanemoor/jobs/policy/expected_service.h"
#include "owner_state.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

/// \brief Compares what was accepted of each organisation with what its pools can serve, four times a second, and publishes grants.
class AdmissionDesk : public std::enable_shared_from_this<AdmissionDesk> {
public:
    explicit AdmissionDesk(const OwnerState& state)
        : m_state(state)
    {
    }

    void start();
    void close();

    /// \brief Notes a job of this term: it tells what a usual job of its queue is like.
    void noteArrival(const OwnerJob& job);

    /// \returns The latest budgets, over all entry instances.
    [[nodiscard]] const std::vector<AdmissionBudget>& budgets() const noexcept { return m_published.budgets; }

private:
    using Name = std::pair<std::string, std::string>; // Queue and organisation.
    using ByPool = std::map<std::string, std::map<Name, AcceptedWork>>;

    /// Declared sums over the last jobs of a queue, older ones counting less.
    struct Usual {
        double workMillis = 0;
        double chainMillis = 0;
        double allowedMillis = 0;
    };

    void tickLater();
    void tick();
    [[nodiscard]] std::vector<AdmissionBudget> compute() const;
    void notePressed(const std::vector<AdmissionBudget>& budgets);
    [[nodiscard]] ByPool acceptedByPool() const;
    AcceptedWork& entryOf(ByPool& accepted, const Name& name, const std::string& formerPool) const;
    [[nodiscard]] UsualJob usualOf(const std::string& queue) const;
    [[nodiscard]] std::map<std::string, std::int64_t> supplies(const ByPool& accepted) const;

    const OwnerState& m_state;
    TimerId m_timer = 0;
    std::map<std::string, Usual> m_usual; ///< By queue.
    std::map<Name, MonotonicInstant> m_pressedUntil; ///< Those that are named in grants until then.
    AdmissionGrants m_published;
    MonotonicInstant m_publishedAt;
};

} // namespace lanemoor::jobs
