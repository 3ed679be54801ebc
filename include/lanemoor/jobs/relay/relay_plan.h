#pragma once
/// \file
/// Decides which instance carries the owner's calls to which worker. Pure.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lanemoor::jobs {

/// Weights of the plan.
struct RelayOptions {
    /// Workers whose calls one core of a machine carries; 0: the owner calls every worker itself. An
    /// attempt costs some 0.5 ms in calls, and a worker of 32 cores has up to nine attempts a second
    /// of the shortest tasks seen: 4.5 ms a second. 0.6 of a core is planned for, the rest is for peaks.
    double workersPerCore = 130;
    /// Relays are let go only if those that are left have room for so many times the workers.
    double shrinkAt = 1.6;

    [[nodiscard]] bool operator==(const RelayOptions&) const = default;
};

/// \brief Spreads the owner's workers over relays, the machines with the most processor time first.
///
/// While the owner's own machine can carry all calls there are no relays in use. A worker keeps its
/// relay as long as that is there and in use; since a relay keeps nothing of a worker, changing it costs
/// nothing but the calls that are under way when a relay is lost.
///
/// \code
/// RelayPlan plan(options, 0.5);
/// plan.addRelay("entry-2", 0.5);
/// const std::string relay = plan.relayOf("worker-17", now); // Empty: call it directly.
/// \endcode
class RelayPlan {
public:
    /// \param ownCores Processor time of the owner's machine; 0: not known, and taken as one core.
    RelayPlan(RelayOptions options, double ownCores);

    /// \brief A relay is there. \param cores Processor time of its machine.
    void addRelay(const std::string& name, double cores);

    /// \brief A relay is gone, or takes no new calls; its workers get others.
    void removeRelay(const std::string& name);

    /// \brief Assigns a worker if it has no relay, or one that carries far more than others.
    /// \returns The relay; empty: call it directly.
    [[nodiscard]] std::string relayOf(const std::string& worker, MonotonicInstant now);

    /// \brief A call that `relay` was given for the worker was answered by the worker.
    void noteAnswered(const std::string& relay);

    /// \brief The worker did not answer a call through `relay`: others are tried. A relay through which worker after
    /// worker does not answer rests for a while, since it may be the one that is cut off; then it gets one worker
    /// until that one answers.
    void noteUnanswered(const std::string& relay, const std::string& worker, MonotonicInstant now);

    /// \brief The worker is gone. \returns The relay that it had; empty: none.
    std::string forget(const std::string& worker);

    /// \returns Relays that workers are assigned to now.
    [[nodiscard]] std::size_t relaysInUse() const noexcept { return m_inUse; }

    /// \returns Workers that are known.
    [[nodiscard]] std::size_t workers() const noexcept { return m_relayByWorker.size(); }

private:
    struct Relay {
        double fullCapacity = 0; ///< In workers.
        bool onProbation = false; ///< It rested, and no worker has answered through it since: it gets one.
        std::size_t workers = 0;
        std::uint32_t unanswered = 0; ///< Calls in a row.
        std::uint32_t rests = 0; ///< In a row.
        MonotonicInstant restsUntil; ///< Gets no workers before.
        bool inUse = false;

        [[nodiscard]] double capacity() const noexcept { return onProbation ? 1.0 : fullCapacity; }
    };

    void noteSize();
    void resize();
    void choose(std::string& relay);
    void release(const std::string& relay);
    [[nodiscard]] bool isOverloaded(const std::string& relay) const;
    [[nodiscard]] double capacityOf(double cores) const;

    RelayOptions m_options;
    double m_ownCapacity;
    std::map<std::string, Relay> m_relays;
    std::map<std::string, std::string> m_relayByWorker; ///< Empty: called directly.
    std::size_t m_inUse = 0;
    std::size_t m_plannedFor = 0; ///< Workers when the plan was made.
    MonotonicInstant m_now; ///< Of the last call that told it.
    std::optional<MonotonicInstant> m_restEndsAt; ///< Of the relay that rests the shortest; nothing: none rests.
    bool m_awaitsProbe = false; ///< A relay on probation has no worker yet.
    double m_fairShare = 0; ///< Workers by capacity, if all relays in use carried the same share.
};

} // namespace lanemoor::jobs
