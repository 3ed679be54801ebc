#pragma once
/// \file
/// Decides which instance relays the owner's calls to which worker. Does no I/O; time is passed in.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/policy/reachability.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// Settings of the relay plan.
struct RelayOptions {
    /// Number of workers whose calls one core can make; 0: the owner calls every worker directly. An
    /// attempt costs about 0.5 ms in calls, and a worker of 32 cores runs up to nine attempts a second
    /// of the shortest tasks: 4.5 ms a second. This plans for 0.6 of a core and leaves the rest for peaks.
    double workersPerCore = 130;
    /// A relay is released only if the capacity of the others is at least this multiple of the workers.
    double shrinkAt = 1.6;

    [[nodiscard]] bool operator==(const RelayOptions&) const = default;
};

/// \brief Distributes the owner's workers over relays, using the machines with the most cores first.
///
/// No relays are used while the owner's machine can make all calls itself. A worker keeps its relay as long
/// as the relay is connected and in use. Relays hold no state of workers, so reassigning a worker only affects
/// the calls that are in flight when a relay fails.
///
/// A path is a relay, or the owner's direct calls (the empty name). If a path does not reach a data hall, the next calls to
/// workers there take another path: first paths that reach the data hall, then paths of unknown state, each by load. Unused
/// relays are added for this purpose, and a relay takes up to twice its capacity. Workers stay on their path if no other
/// path has capacity.
///
/// \code
/// RelayPlan plan(options, 0.5);
/// plan.addRelay("entry-2", 0.5);
/// const std::string relay = plan.relayOf("worker-17", now); // Empty: call it directly.
/// \endcode
class RelayPlan {
public:
    /// \param ownCores Processor cores of the owner's machine; 0: unknown, one core is assumed.
    /// \param ownHall Data hall of the owner.
    RelayPlan(RelayOptions options, double ownCores, ReachabilityOptions reachability = {}, const std::string& ownHall = {});

    /// \brief Adds a relay. \param cores Processor cores of its machine. \param dataHall Its data hall; empty: unknown.
    void addRelay(const std::string& name, double cores, const std::string& dataHall = {});

    /// \brief Removes a relay that is disconnected or accepts no new calls. Its workers are reassigned.
    void removeRelay(const std::string& name);

    /// \brief Reassigns a worker if it has no relay, or a relay that is overloaded or does not reach its data hall.
    /// \param dataHall Of the worker; empty: unknown, reachability is ignored.
    /// \returns The relay; empty: call the worker directly.
    [[nodiscard]] std::string relayOf(const std::string& worker, MonotonicInstant now, const std::string& dataHall = {});

    /// \returns The best path for one call to the data hall, except `avoided` ones, if there is any. Among paths of equal rank,
    /// those that start in other data halls than the avoided ones come first.
    [[nodiscard]] std::optional<std::string> alternativePath(const std::string& dataHall, const std::set<std::string>& avoided, MonotonicInstant now);

    /// \brief Notes that the worker answered a call through `relay`.
    /// \returns The change of the path's state, if any.
    std::optional<PathChange> noteAnswered(const std::string& relay, const std::string& worker = {}, MonotonicInstant now = {}, const std::string& dataHall = {});

    /// \brief Notes that the worker did not answer a call through `relay`, and moves the worker to another relay. After
    /// several consecutive unanswered calls the relay is suspended for a while, since it may be partitioned itself. It
    /// then gets a single worker until that worker answers.
    void noteUnanswered(const std::string& relay, const std::string& worker, MonotonicInstant now);

    /// \brief Notes an overdue or timed-out call as evidence against the path. \param expectedAt When its answer was due.
    /// \returns The change of the path's state, if any.
    std::optional<PathChange> noteEvidence(const std::string& relay, const std::string& worker, const std::string& dataHall, MonotonicInstant expectedAt, MonotonicInstant now);

    /// \returns An unreachable path that an additional call to a worker of the data hall should retry now, if any.
    [[nodiscard]] std::optional<std::string> takeRetry(const std::string& dataHall, MonotonicInstant now);

    /// \returns Number of workers of the data hall that are assigned to the path.
    [[nodiscard]] std::size_t workersOnPath(const std::string& path, const std::string& dataHall) const;

    [[nodiscard]] const ReachabilityTable& reachability() const noexcept { return m_reachability; }

    /// \brief Removes a worker. \returns The relay that it was assigned to; empty: none.
    std::string removeWorker(const std::string& worker);

    /// \returns Number of relays in use.
    [[nodiscard]] std::size_t relaysInUse() const noexcept { return m_inUse; }

    /// \returns Number of workers in the plan.
    [[nodiscard]] std::size_t workers() const noexcept { return m_assignments.size(); }

private:
    struct Relay {
        double fullCapacity = 0; ///< In workers.
        bool onProbation = false; ///< No worker has answered through it since its suspension: it gets a single worker.
        std::size_t workers = 0;
        std::map<std::size_t, std::size_t> workersByHall; ///< Excludes workers of unknown data halls.
        std::uint32_t unanswered = 0; ///< Consecutive calls.
        std::uint32_t suspensions = 0; ///< Consecutive.
        MonotonicInstant suspendedUntil; ///< The relay gets no workers before this time.
        bool inUse = false;
        bool isSelected = false; ///< Whether the plan in progress uses it.
        bool servesUnreachedHallsOnly = false; ///< Used only for data halls that the other relays do not reach.

        [[nodiscard]] double capacity() const noexcept { return onProbation ? 1.0 : fullCapacity; }
    };

    struct Assignment {
        std::string relay; ///< Empty: the worker is called directly.
        std::size_t hall = 0; ///< See `ReachabilityTable::hallOf`.
    };

    /// A path with its rank for calls to one data hall.
    struct RankedPath {
        std::string path;
        std::string from; ///< Data hall where the path starts.
        PathRank rank = PathRank::MayReach;
        bool startsInOtherHall = false; ///< The path starts in another data hall than the workers'.
        double utilisation = 0; ///< Assigned workers divided by the path's capacity.
        std::uint32_t callsSinceRanking = 0;
    };

    struct PathRanking {
        MonotonicInstant validUntil;
        std::vector<RankedPath> paths;
    };

    [[nodiscard]] std::vector<RankedPath>& rankedPathsTo(std::size_t hall, MonotonicInstant now);
    void replanIfNeeded();
    void replan();
    void selectByLoad(const std::vector<std::pair<const std::string, Relay>*>& largestFirst);
    void selectForUnreachedHalls(const std::vector<std::pair<const std::string, Relay>*>& largestFirst);
    void applySelection();
    void reassign(Assignment& assignment);
    void moveTo(Assignment& assignment, const std::string& relay);
    void release(const Assignment& assignment);
    [[nodiscard]] Assignment& assignmentOf(const std::string& worker, const std::string& dataHall);
    [[nodiscard]] bool needsReassignment(const Assignment& assignment) const;
    [[nodiscard]] bool mayReach(const std::string& path, std::size_t hall) const { return m_reachability.rank(path, hall, m_now) < PathRank::LikelyUnreachable; }
    [[nodiscard]] bool isOverloaded(const std::string& relay) const;
    [[nodiscard]] bool hasDirectCapacity() const;
    [[nodiscard]] double capacityOf(double cores) const;

    RelayOptions m_options;
    double m_ownCapacity;
    std::map<std::string, Relay> m_relays;
    std::map<std::string, Assignment> m_assignments; ///< By worker.
    std::map<std::size_t, std::size_t> m_workersByHall; ///< Excludes workers of unknown data halls.
    ReachabilityTable m_reachability;
    bool m_usesRelaysForLoad = false; ///< The workers exceed the capacity of the owner's machine: relays get all of them.
    std::size_t m_inUse = 0;
    std::size_t m_plannedWorkers = 0; ///< Number of workers when the plan was made.
    MonotonicInstant m_now; ///< Latest time that was passed in.
    std::optional<MonotonicInstant> m_nextSuspensionEnd; ///< Earliest end of a suspension, if any relay is suspended.
    bool m_awaitsProbe = false; ///< A relay on probation has no worker yet.
    std::set<std::size_t> m_hallsWithoutPath; ///< Data halls that no relay in use was found to reach since the plan was made.
    std::map<std::size_t, PathRanking> m_rankings; ///< By data hall.
    double m_fairShare = 0; ///< Workers per unit of capacity if the load were even over all relays in use.
};

} // namespace lanemoor::jobs
