#pragma once
/// \file
/// Decides which instance carries the owner's calls to which worker. Pure.

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
/// A path is a relay, or the owner's own calls (the empty name). Where a path does not reach a data hall, calls to workers there
/// take another one from their next call on: paths that reach it, then those of which nothing is known, by load. Relays that are
/// not in use are taken into use for that, and relays carry up to twice their capacity. Workers for which no path has room
/// keep theirs.
///
/// \code
/// RelayPlan plan(options, 0.5);
/// plan.addRelay("entry-2", 0.5);
/// const std::string relay = plan.relayOf("worker-17", now); // Empty: call it directly.
/// \endcode
class RelayPlan {
public:
    /// \param ownCores Processor time of the owner's machine; 0: not known, and taken as one core.
    /// \param ownHall Data hall of the owner.
    RelayPlan(RelayOptions options, double ownCores, ReachabilityOptions reachability = {}, const std::string& ownHall = {});

    /// \brief A relay is there. \param cores Processor time of its machine. \param dataHall Where it stands; empty: not known.
    void addRelay(const std::string& name, double cores, const std::string& dataHall = {});

    /// \brief A relay is gone, or takes no new calls; its workers get others.
    void removeRelay(const std::string& name);

    /// \brief Assigns a worker if it has no relay, or one that carries far more than others or does not reach its data hall.
    /// \param dataHall Of the worker; empty: not known, and reachability does not count.
    /// \returns The relay; empty: call it directly.
    [[nodiscard]] std::string relayOf(const std::string& worker, MonotonicInstant now, const std::string& dataHall = {});

    /// \returns The best path to the data hall but for `avoided` ones, for one call; nothing: there is none. Paths that start in
    /// other data halls than the avoided ones come first among equals.
    [[nodiscard]] std::optional<std::string> otherPath(const std::string& dataHall, const std::set<std::string>& avoided, MonotonicInstant now);

    /// \brief A call that `relay` was given for the worker was answered by the worker.
    /// \returns What is known anew of the path, if it changed.
    std::optional<PathChange> noteAnswered(const std::string& relay, const std::string& worker = {}, MonotonicInstant now = {}, const std::string& dataHall = {});

    /// \brief The worker did not answer a call through `relay`: others are tried. A relay through which worker after
    /// worker does not answer rests for a while, since it may be the one that is cut off; then it gets one worker
    /// until that one answers.
    void noteUnanswered(const std::string& relay, const std::string& worker, MonotonicInstant now);

    /// \brief A call is overdue or was given up: evidence on the path. \param expectedAt When its answer was due.
    /// \returns What is known anew of the path, if it changed.
    std::optional<PathChange> noteEvidence(const std::string& relay, const std::string& worker, const std::string& dataHall, MonotonicInstant expectedAt, MonotonicInstant now);

    /// \returns An unreachable path that one call to a worker of the data hall should retry now, beside its others; nothing: none.
    [[nodiscard]] std::optional<std::string> takeRetry(const std::string& dataHall, MonotonicInstant now);

    /// \returns Workers of the data hall that are assigned to the path.
    [[nodiscard]] std::size_t workersOver(const std::string& path, const std::string& dataHall) const;

    [[nodiscard]] const ReachabilityTable& reachability() const noexcept { return m_reachability; }

    /// \brief The worker is gone. \returns The relay that it had; empty: none.
    std::string forget(const std::string& worker);

    /// \returns Relays that workers are assigned to now.
    [[nodiscard]] std::size_t relaysInUse() const noexcept { return m_inUse; }

    /// \returns Workers that are known.
    [[nodiscard]] std::size_t workers() const noexcept { return m_places.size(); }

private:
    struct Relay {
        double fullCapacity = 0; ///< In workers.
        bool onProbation = false; ///< It rested, and no worker has answered through it since: it gets one.
        std::size_t workers = 0;
        std::map<std::size_t, std::size_t> workersByHall; ///< Without those of unknown data halls.
        std::uint32_t unanswered = 0; ///< Calls in a row.
        std::uint32_t rests = 0; ///< In a row.
        MonotonicInstant restsUntil; ///< Gets no workers before.
        bool inUse = false;
        bool isWanted = false; ///< By the plan that is being made.
        bool isDetour = false; ///< In use only for data halls that others do not reach.

        [[nodiscard]] double capacity() const noexcept { return onProbation ? 1.0 : fullCapacity; }
    };

    struct Place {
        std::string relay; ///< Empty: called directly.
        std::size_t hall = 0; ///< See `ReachabilityTable::hallOf`.
    };

    /// A path as it is ranked for calls to one data hall.
    struct Detour {
        std::string path;
        std::string from; ///< Data hall where it starts.
        PathRank rank = PathRank::MayReach;
        bool isElsewhere = false; ///< It starts in another data hall.
        double share = 0; ///< Of its capacity that is taken.
        std::uint32_t taken = 0; ///< Calls since the ranking.
    };

    struct Detours {
        MonotonicInstant validUntil;
        std::vector<Detour> paths;
    };

    [[nodiscard]] std::vector<Detour>& detoursTo(std::size_t hall, MonotonicInstant now);
    void noteSize();
    void resize();
    void useByLoad(const std::vector<std::pair<const std::string, Relay>*>& largestFirst);
    void useDetours(const std::vector<std::pair<const std::string, Relay>*>& largestFirst);
    void applyUse();
    void choose(Place& place);
    void moveTo(Place& place, const std::string& relay);
    void release(const Place& place);
    [[nodiscard]] Place& placeOf(const std::string& worker, const std::string& dataHall);
    [[nodiscard]] bool needsChoice(const Place& place) const;
    [[nodiscard]] bool mayReach(const std::string& path, std::size_t hall) const { return m_reachability.rank(path, hall, m_now) < PathRank::LikelyUnreachable; }
    [[nodiscard]] bool isOverloaded(const std::string& relay) const;
    [[nodiscard]] bool hasDirectRoom() const;
    [[nodiscard]] double capacityOf(double cores) const;

    RelayOptions m_options;
    double m_ownCapacity;
    std::map<std::string, Relay> m_relays;
    std::map<std::string, Place> m_places; ///< By worker.
    std::map<std::size_t, std::size_t> m_workersByHall; ///< Without those of unknown data halls.
    ReachabilityTable m_reachability;
    bool m_isByLoad = false; ///< There are more workers than the owner's machine carries: it calls none itself.
    std::size_t m_inUse = 0;
    std::size_t m_plannedFor = 0; ///< Workers when the plan was made.
    MonotonicInstant m_now; ///< Of the last call that told it.
    std::optional<MonotonicInstant> m_restEndsAt; ///< Of the relay that rests the shortest; nothing: none rests.
    bool m_awaitsProbe = false; ///< A relay on probation has no worker yet.
    std::set<std::size_t> m_hallsWithoutPath; ///< No relay in use reaches them, by the last choice since the plan was made.
    std::map<std::size_t, Detours> m_detours; ///< By data hall.
    double m_fairShare = 0; ///< Workers by capacity, if all relays in use carried the same share.
};

} // namespace lanemoor::jobs
