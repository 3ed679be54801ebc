#pragma once
/// \file
/// The order of placement in a pool that organisations share.

#include "lanemoor/jobs/policy/organisation_share.h"
#include "placement_candidate.h"
#include "waiting_jobs.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// What a pool has for organisations.
struct PoolRoom {
    Resources capacity;
    std::map<std::string, Resources> used; ///< By organisation.
};

/// What the order is carried out with.
struct FairPlacementActions {
    std::function<void(const PlacementCandidate&)> place; ///< Starts what it can and tells of each start.
    std::function<void(const PlacementCandidate&)> hold; ///< Counts tasks that wait though there may be room.
};

/// \brief Places candidates of one pool in the order of priority, hopeless, beyond its organisation's share, beyond its rate, objective.
///
/// Of one priority, organisations start tasks until they have their weighted max-min share. What is left then goes to the others in
/// their order. Of the waiting jobs of one organisation and queue a few are looked at in vain, and the rest not at all.
class FairPlacement {
public:
    /// Tasks of one step that start together, though their organisation has its share after the first ones: a job that is cut in two
    /// ends as late as its last task.
    static constexpr std::size_t tasksTogether = 16;

    /// \param room Of the pool, without what the pass starts.
    FairPlacement(OwnerState& state, std::string pool, MonotonicInstant now, const PoolRoom& room, FairPlacementActions actions);

    /// \brief Places all candidates, and the waiting jobs of the pool. Jobs that began wait no more.
    /// \param candidates Of jobs that have begun, or that wait for themselves.
    void run(std::vector<PlacementCandidate> candidates);

    /// \name While a candidate is placed
    ///@{
    /// \returns Whether its organisation may start one more task now.
    [[nodiscard]] bool mayGoOn(const PlacementCandidate& candidate) const;

    void noteStarted(const PlacementCandidate& candidate, const Resources& needs);

    /// \brief Tasks of it found no room.
    /// \param heldByQuota By their organisation's quota.
    void noteUnplaced(const PlacementCandidate& candidate, bool heldByQuota);

    /// \brief Leaves its tasks from `first` on for later, when others have their shares.
    void defer(const PlacementCandidate& candidate, std::size_t first);
    ///@}

    /// \returns What waits in the pool's groups, by requirement class.
    [[nodiscard]] std::map<Requirement, WaitingTasks> waiting() const;

private:
    /// Candidates that come one after the other: of one job that waits, or those of a group.
    struct Source {
        std::vector<PlacementCandidate> head;
        const WaitingGroup* group = nullptr;
        WaitingGroup::Jobs::const_iterator next; ///< Of the group, after the head.
        WaitingGroup::Jobs::const_iterator end;
        std::uint32_t misses = 0;
    };

    struct PoolGroup {
        const WaitingGroup* group = nullptr;
        const QueueSettings* queue = nullptr;
        std::string organisation;
    };

    void findGroups();
    [[nodiscard]] std::vector<OrganisationDemand> demandsOf(const PoolRoom& room, const std::vector<PlacementCandidate>& candidates) const;
    void placeLevel(std::uint32_t priority, bool hopeless, std::vector<PlacementCandidate> candidates);
    void placeAll(std::vector<Source> sources);
    void placeHead(Source& source);
    [[nodiscard]] bool advance(Source& source) const;
    [[nodiscard]] std::vector<PlacementCandidate> candidatesOf(const WaitingGroup::Jobs::value_type& waiting, const QueueSettings* queue) const;
    [[nodiscard]] const QueueSettings* queueOf(const WaitingGroup* group) const;
    void noteDeficits();
    void countHeld();
    [[nodiscard]] double weightOf(const std::string& organisation) const;

    OwnerState& m_state;
    std::string m_pool;
    MonotonicInstant m_now;
    PoolRoom m_room;
    FairPlacementActions m_actions;
    std::shared_ptr<const ServiceConfiguration> m_configuration;
    std::vector<PoolGroup> m_groups;
    std::optional<PoolShares> m_shares;
    bool m_sharesBind = true; ///< False: what is left goes to whoever comes first.
    std::vector<Source> m_deferred;
    std::vector<OwnerJob*> m_begun; ///< They wait no more.
    std::set<std::string> m_unplaced; ///< Organisations of which tasks found no room.
    std::set<std::string> m_heldByQuota; ///< Organisations whose waiting jobs more instances would not help.
};

} // namespace lanemoor::jobs
