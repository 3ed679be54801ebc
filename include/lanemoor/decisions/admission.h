#pragma once
/// \file
/// Admission of requests to a pool: who starts next, who waits, who is told to come back.

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

/// A request that asks to be admitted.
struct Ticket {
    std::uint64_t id = 0; ///< Unique in its queue.
    RequestClass requestClass = RequestClass::Check;
    std::string team;
    Instant deadline;

    [[nodiscard]] bool operator==(const Ticket&) const = default;
};

/// What binds one queue.
struct AdmissionLimits {
    std::uint32_t slots = 0; ///< Requests in flight at once.
    std::uint32_t mostWaiting = 256;

    [[nodiscard]] bool operator==(const AdmissionLimits&) const = default;
};

/// A refused request and when asking again makes sense.
struct AdmissionRefusal {
    RequestRefusal reason = RequestRefusal::QueueFull;
    Instant retryAt;

    [[nodiscard]] bool operator==(const AdmissionRefusal&) const = default;
};

/// A waiting request that is given up on.
struct ExpiredTicket {
    std::uint64_t id = 0;
    AdmissionRefusal refusal;

    [[nodiscard]] bool operator==(const ExpiredTicket&) const = default;
};

/// \brief The queue of one pool at one entry instance. Pure: it is told the time.
///
/// Checks and orders start before batch, but of `batchTurn` starts at least one is a
/// batch request if any waits, so that batch never starves. Within a class the team
/// with the smallest share of its quota in flight goes first, and within a team the
/// earliest deadline. Run times are observed, never declared: a request whose deadline
/// can't be met by them is refused at once.
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

    /// \brief Sets new limits; what is in flight stays so.
    void setLimits(AdmissionLimits limits) noexcept { m_limits = limits; }

    /// \brief Sets the requests that `team` may have in flight here; unknown teams have
    /// no quota and share what is left.
    void setQuota(const std::string& team, std::uint32_t quota);

    /// \brief Takes a request into the queue.
    /// \returns Nothing, or why it is refused.
    [[nodiscard]] std::optional<AdmissionRefusal> offer(const Ticket& ticket, Instant now);

    /// \brief Starts the request whose turn it is, if a slot is free.
    [[nodiscard]] std::optional<std::uint64_t> start(Instant now);

    /// \brief Removes and returns the waiting requests that can't make their deadlines any more.
    [[nodiscard]] std::vector<ExpiredTicket> expire(Instant now);

    /// \brief Ends a started request and learns how long it ran.
    void finish(std::uint64_t id, Instant now);

    /// \brief Removes a request that its caller gave up, waiting or started.
    void cancel(std::uint64_t id);

    /// \name Observed
    ///@{
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    [[nodiscard]] std::size_t inFlight() const noexcept { return m_started.size(); }

    /// \returns The run time that a request of `requestClass` is expected to need.
    [[nodiscard]] Millis expectedRunTime(RequestClass requestClass) const noexcept;
    ///@}

private:
    /// Order in which the requests of one class and team start.
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

    [[nodiscard]] std::optional<std::uint64_t> nextOf(RequestClass requestClass) const;
    [[nodiscard]] bool anyWaiting(RequestClass requestClass) const noexcept;
    [[nodiscard]] Millis expectedWait(RequestClass requestClass) const noexcept;
    void removeWaiting(const Ticket& ticket);
    void learn(RequestClass requestClass, Millis ran) noexcept;

    AdmissionLimits m_limits;
    std::map<std::string, TeamQueue, std::less<>> m_teams;
    std::map<std::uint64_t, Ticket> m_waiting;
    std::map<std::uint64_t, Started> m_started;
    std::array<std::uint32_t, requestClassCount> m_waitingByClass {};
    std::array<Millis, requestClassCount> m_runTime {};
    std::uint32_t m_startsSinceBatch = 0;
};

} // namespace lanemoor
