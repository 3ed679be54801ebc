#pragma once
/// \file
/// Resource reservations of the attempts at one worker.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/model/requirement.h"
#include "lanemoor/jobs/model/worker_control.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace lanemoor::jobs {

struct OrganisationAccount;

/// Resources that an attempt reserves at its worker until it ends.
struct Reservation {
    std::shared_ptr<const StepSpec> step;
    OrganisationAccount* account = nullptr; ///< Account charged with the step's full needs; null: none.
    std::optional<std::uint32_t> throttledTo = 100; ///< Percent last sent to the worker; unset: another one may be in force there.
    MonotonicInstant expectedEnd; ///< From the declared time, corrected by observed run times.
    std::uint32_t suspectedCrashes = 0; ///< Crashes that its task may have caused; 0 once the worker has survived the start.
};

/// \brief The reservations at one worker and their sums, which placement reads in each pass and the capacity plan in each plan.
///
/// \code
/// reservations.put(attempt, { .step = step });
/// const Resources free = capacity - reservations.used();
/// \endcode
class Reservations {
public:
    using Map = std::map<Attempt, Reservation>;

    /// \brief Adds a reservation or replaces the attempt's existing one.
    void put(const Attempt& attempt, Reservation reservation);

    /// \brief Removes an attempt's reservation, if it has one.
    void erase(const Attempt& attempt);

    /// \brief Removes all reservations. \returns The removed ones.
    Map takeAll();

    /// \brief Records the percent last sent to the worker; ignored if the attempt has no reservation.
    void noteThrottled(const Attempt& attempt, std::optional<std::uint32_t> percent);

    /// \brief Records that the worker may not survive the attempt's start; ignored if the attempt has no reservation.
    /// \param suspectedCrashes Crashes that the task may have caused, this one included.
    void noteSuspect(const Attempt& attempt, std::uint32_t suspectedCrashes);

    /// \brief Records that the worker has survived the attempt's start; ignored if the attempt has no reservation.
    void noteSurvived(const Attempt& attempt);

    /// \name Reservations
    ///@{
    [[nodiscard]] Map::const_iterator begin() const noexcept { return m_reservations.begin(); }
    [[nodiscard]] Map::const_iterator end() const noexcept { return m_reservations.end(); }
    [[nodiscard]] Map::const_iterator find(const Attempt& attempt) const { return m_reservations.find(attempt); }
    [[nodiscard]] const Reservation& at(const Attempt& attempt) const { return m_reservations.at(attempt); }
    [[nodiscard]] bool contains(const Attempt& attempt) const { return m_reservations.contains(attempt); }
    [[nodiscard]] bool empty() const noexcept { return m_reservations.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_reservations.size(); }
    ///@}

    /// \name Sums
    ///@{
    /// \returns The part of the worker's capacity that all reservations take.
    [[nodiscard]] const Resources& used() const noexcept { return m_used; }

    /// \returns The same by account, without reservations that have no account.
    [[nodiscard]] const std::map<const OrganisationAccount*, Resources>& usedByAccount() const noexcept { return m_usedByAccount; }

    /// \returns Number of tasks with a latency target.
    [[nodiscard]] std::uint32_t servingTasks() const noexcept { return m_servingTasks; }

    [[nodiscard]] std::uint32_t bestEffortTasks() const noexcept { return m_bestEffortTasks; }

    /// \returns Number of long-running tasks.
    [[nodiscard]] std::uint32_t longRunningTasks() const noexcept { return m_longRunningTasks; }

    /// \returns Number of long-running tasks that require a label.
    [[nodiscard]] std::uint32_t pinnedTasks() const noexcept { return m_pinnedTasks; }

    /// \returns The expected end of all tasks that are not long-running; the epoch of the clock without any.
    [[nodiscard]] MonotonicInstant expectedBatchEnd() const noexcept { return m_expectedBatchEnd; }

    /// \returns The part of the worker's capacity that all reservations take, by requirement class.
    [[nodiscard]] const std::map<Requirement, Resources>& usedByRequirement() const noexcept { return m_usedByRequirement; }

    /// \returns Suspect attempts whose start the worker has not survived yet, with the crashes that their tasks may have caused.
    [[nodiscard]] const std::map<Attempt, std::uint32_t>& suspects() const noexcept { return m_suspects; }
    ///@}

private:
    void count(const Reservation& reservation, int sign);
    void countAccount(const Reservation& reservation, int sign);
    void countRequirements(const StepSpec& step, int sign);
    void updateExpectedBatchEnd();

    Map m_reservations;
    Resources m_used;
    std::map<const OrganisationAccount*, Resources> m_usedByAccount;
    std::uint32_t m_servingTasks = 0;
    std::uint32_t m_bestEffortTasks = 0;
    std::uint32_t m_longRunningTasks = 0;
    std::uint32_t m_pinnedTasks = 0;
    MonotonicInstant m_expectedBatchEnd;
    std::map<Requirement, Resources> m_usedByRequirement;
    std::map<Attempt, std::uint32_t> m_suspects;
};

} // namespace lanemoor::jobs
