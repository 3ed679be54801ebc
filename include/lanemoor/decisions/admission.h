#pragma once
/// \file
/// Admission control of a pool: which request starts next, waits or is refused.

#include "lanemoor/decisions/request.h"
#include "lanemoor/decisions/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// A request to be admitted.
struct Ticket {
    std::uint64_t id = 0; ///< Unique in its queue.
    RequestClass requestClass = RequestClass::Check;
    std::string team;
    Instant deadline;

    [[nodiscard]] bool operator==(const Ticket&) const = default;
};

/// Limits of one queue.
struct AdmissionLimits {
    std::uint32_t slots = 0; ///< Requests in flight at once.
    std::uint32_t maxWaiting = 256;

    [[nodiscard]] bool operator==(const AdmissionLimits&) const = default;
};

/// Why a request is refused and when a retry can succeed.
struct AdmissionRefusal {
    RequestRefusal reason = RequestRefusal::QueueFull;
    Instant retryAt;

    [[nodiscard]] bool operator==(const AdmissionRefusal&) const = default;
};

/// A waiting request that can no longer meet its deadline.
struct ExpiredTicket {
    std::uint64_t id = 0;
    AdmissionRefusal refusal;

    [[nodiscard]] bool operator==(const ExpiredTicket&) const = default;
};

/// \brief The queue of one pool at one entry instance. Pure: the caller passes the time.
///
/// Checks and orders start before batch requests, but while a batch request waits, at
/// least one of every five starts is a batch request, so that batch does not starve.
/// Within a class, the team with the smallest share of its quota in flight goes first;
/// within a team, the earliest deadline. Callers declare no run times; the expected run time
/// of a class is a moving average of observed ones. A request that would miss its deadline by
/// these averages is refused on arrival.
///
/// \code
/// AdmissionQueue queue({ .slots = 8 });
/// if (auto refusal = queue.offer(ticket, now))
///     answer(*refusal);
/// while (auto id = queue.start(now))
///     run(*id);
/// \endcode
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionLimits limits);

    /// \brief Sets new limits. Requests in flight are not affected.
    void setLimits(AdmissionLimits limits) noexcept { m_limits = limits; }

    /// \brief Sets how many requests of `team` may be in flight on this entry instance.
    /// A team without a quota is bounded by the free slots only.
    void setQuota(const std::string& team, std::uint32_t quota);

    /// \brief Adds a request to the queue.
    /// \returns Nothing if the request was added, otherwise the refusal.
    [[nodiscard]] std::optional<AdmissionRefusal> offer(const Ticket& ticket, Instant now);

    /// \brief Starts the next request if a slot is free.
    /// \returns The id of the started request, or nothing.
    [[nodiscard]] std::optional<std::uint64_t> start(Instant now);

    /// \brief Removes and returns the waiting requests that can no longer meet their deadlines.
    [[nodiscard]] std::vector<ExpiredTicket> expire(Instant now);

    /// \brief Ends a started request and adds its run time to the moving average.
    void finish(std::uint64_t id, Instant now);

    /// \brief Removes a waiting or started request that its caller cancelled.
    void cancel(std::uint64_t id);

    /// \name Observed
    ///@{
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    [[nodiscard]] std::size_t inFlight() const noexcept { return m_started.size(); }

    /// \returns The moving average of the run times of `requestClass`.
    [[nodiscard]] Millis expectedRunTime(RequestClass requestClass) const noexcept;
    ///@}

private:
    /// Orders the waiting requests of one class and team by deadline.
    struct WaitingKey {
        Instant deadline;
        std::uint64_t id = 0;
        [[nodiscard]] auto operator<=>(const WaitingKey&) const = default;
    };

    struct TeamQueue {
        std::array<std::set<WaitingKey>, requestClassCount> waiting;
        std::uint32_t inFlight = 0;
        std::uint32_t quota = 0; ///< 0: none set.
    };

    struct Started {
        Ticket ticket;
        Instant at;
    };

    [[nodiscard]] std::optional<std::uint64_t> nextWaiting(RequestClass requestClass) const;
    [[nodiscard]] bool anyWaiting(RequestClass requestClass) const noexcept;
    [[nodiscard]] Millis expectedWait(RequestClass requestClass) const noexcept;
    void removeWaiting(const Ticket& ticket);
    void updateExpectedRunTime(RequestClass requestClass, Millis ran) noexcept;

    AdmissionLimits m_limits;
    std::map<std::string, TeamQueue, std::less<>> m_teams;
    std::map<std::uint64_t, Ticket> m_waiting;
    std::map<std::uint64_t, Started> m_started;
    std::array<std::uint32_t, requestClassCount> m_waitingByClass {};
    std::array<Millis, requestClassCount> m_runTime {};
    std::uint32_t m_startsSinceBatch = 0;
};

} // namespace lanemoor
