#pragma once
/// \file
/// What attempts take at one worker, until they are over.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/job_record.h"
#include "lanemoor/jobs/model/worker_control.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace lanemoor::jobs {

struct OrganisationAccount;

/// What an attempt takes at its worker until it is over.
struct Booking {
    std::shared_ptr<const StepSpec> step;
    OrganisationAccount* account = nullptr; ///< That the attempt counts for, by all that its step asks; null: nobody's.
    std::uint32_t throttledTo = 100; ///< Percent that the worker was last told.
    MonotonicInstant endsBy; ///< When it should have ended, by its declared time and what is observed.
    std::uint32_t suspicion = 0; ///< Crashes that may be its task's doing; 0 once the worker has survived the start.
};

/// \brief The bookings at one worker, and their sums, which placement asks for at each pass.
///
/// \code
/// bookings.put(attempt, { .step = step });
/// const Resources free = capacity - bookings.used();
/// \endcode
class Bookings {
public:
    using Map = std::map<Attempt, Booking>;

    /// \brief Books an attempt; one that is booked already is booked anew.
    void put(const Attempt& attempt, Booking booking);

    /// \brief Takes an attempt out of the books, if it stands there.
    void erase(const Attempt& attempt);

    /// \brief Empties the books. \returns What stood there.
    Map takeAll();

    /// \brief Notes what the worker was told last; ignored if the attempt is not booked.
    void noteThrottled(const Attempt& attempt, std::uint32_t percent);

    /// \brief Notes that the worker may not survive the attempt's start; ignored if the attempt is not booked.
    /// \param suspicion Crashes that may be its task's doing, this one included.
    void noteSuspect(const Attempt& attempt, std::uint32_t suspicion);

    /// \brief Notes that the worker has survived the attempt's start; ignored if the attempt is not booked.
    void noteSurvived(const Attempt& attempt);

    /// \name The bookings
    ///@{
    [[nodiscard]] Map::const_iterator begin() const noexcept { return m_bookings.begin(); }
    [[nodiscard]] Map::const_iterator end() const noexcept { return m_bookings.end(); }
    [[nodiscard]] Map::const_iterator find(const Attempt& attempt) const { return m_bookings.find(attempt); }
    [[nodiscard]] const Booking& at(const Attempt& attempt) const { return m_bookings.at(attempt); }
    [[nodiscard]] bool contains(const Attempt& attempt) const { return m_bookings.contains(attempt); }
    [[nodiscard]] bool empty() const noexcept { return m_bookings.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_bookings.size(); }
    ///@}

    /// \name Sums
    ///@{
    /// \returns What all of them take of the worker's capacity.
    [[nodiscard]] const Resources& used() const noexcept { return m_used; }

    /// \returns The same by the account that it counts for, without what counts for nobody.
    [[nodiscard]] const std::map<const OrganisationAccount*, Resources>& usedByAccount() const noexcept { return m_usedByAccount; }

    /// \returns Tasks with a latency target.
    [[nodiscard]] std::uint32_t servingTasks() const noexcept { return m_servingTasks; }

    [[nodiscard]] std::uint32_t bestEffortTasks() const noexcept { return m_bestEffortTasks; }

    /// \returns Attempts of suspect tasks and their suspicion, while the worker has not survived their start.
    [[nodiscard]] const std::map<Attempt, std::uint32_t>& suspects() const noexcept { return m_suspects; }
    ///@}

private:
    void count(const Booking& booking, int sign);
    void countAccount(const Booking& booking, int sign);

    Map m_bookings;
    Resources m_used;
    std::map<const OrganisationAccount*, Resources> m_usedByAccount;
    std::uint32_t m_servingTasks = 0;
    std::uint32_t m_bestEffortTasks = 0;
    std::map<Attempt, std::uint32_t> m_suspects;
};

} // namespace lanemoor::jobs
