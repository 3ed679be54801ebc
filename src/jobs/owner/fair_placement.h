#pragma once
/// \file
/// Placement order in a pool that organisations share.

#include "lanemoor/jobs/policy/organisation_share.h"
#include "placement_candidate.h"
#include "waiting_jobs.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::jobs {

/// Capacity of a pool, and its usage by organisations.
struct PoolRoom {
    Resources capacity;
    std::map<std::string, Resources> used; ///< By organisation.
};

/// Callbacks that place or hold a candidate.
struct FairPlacementActions {
    std::function<void(const PlacementCandidate&)> place; ///< Starts as many tasks as possible and reports each with `noteStarted`.
    std::function<void(const PlacementCandidate&)> hold; ///< Counts tasks that wait although there may be room.
};

/// \brief Places candidates of one pool, ordered by priority, infeasible, beyond its organisation's share, beyond its rate, objective.
///
/// Within one priority, each organisation starts tasks up to its weighted max-min share. The remaining capacity then goes to the
/// deferred candidates in their order. After a few misses, the rest of a group of waiting jobs is not inspected.
class FairPlacement {
public:
    /// Tasks of one step that may start together even if the first ones use up their organisation's share: a job ends only with its
    /// last task, so splitting the step would delay the whole job.
    static constexpr std::size_t maxTasksTogether = 16;

    /// \param room Capacity and usage of the pool before the pass.
    FairPlacement(OwnerState& state, std::string pool, MonotonicInstant now, const PoolRoom& room, FairPlacementActions actions);

    /// \brief Places all candidates and the waiting jobs of the pool. Jobs that started leave their groups.
    /// \param candidates Steps of jobs that have started or that are in no group.
    void run(std::vector<PlacementCandidate> candidates);

    /// \name Calls while a candidate is placed
    ///@{
    /// \returns Whether the candidate's organisation may start one more task now.
    [[nodiscard]] bool mayStartMore(const PlacementCandidate& candidate) const;

    void noteStarted(const PlacementCandidate& candidate, const Resources& needs);

    /// \brief Notes that tasks of the candidate found no room.
    /// \param heldByQuota Whether the quota of their organisation holds them back.
    void noteUnplaced(const PlacementCandidate& candidate, bool heldByQuota);

    /// \brief Defers the tasks from index `first` until the other organisations have their shares.
    void defer(const PlacementCandidate& candidate, std::size_t first);
    ///@}

    /// \returns The demand of the pool's groups, by requirement class.
    [[nodiscard]] std::map<Requirement, WaitingTasks> waiting() const;

private:
    /// A sequence of candidates: one single candidate, or the jobs of a group in order.
    struct Source {
        std::vector<PlacementCandidate> head;
        const WaitingGroup* group = nullptr;
        WaitingGroup::Jobs::const_iterator next; ///< Next job of the group after the head.
        WaitingGroup::Jobs::const_iterator end;
        std::uint32_t misses = 0;
    };

    struct PoolGroup {
        const WaitingGroup* group = nullptr;
        std::uint32_t priority = 0; ///< Of its jobs, which are of one queue.
        std::string organisation;
    };

    void findGroups();
    [[nodiscard]] std::vector<OrganisationDemand> demandsOf(const PoolRoom& room, const std::vector<PlacementCandidate>& candidates) const;
    void placeLevel(std::uint32_t priority, bool infeasible, std::vector<PlacementCandidate> candidates);
    void placeAll(std::vector<Source> sources);
    void placeHead(Source& source);
    [[nodiscard]] bool advance(Source& source) const;
    [[nodiscard]] std::vector<PlacementCandidate> candidatesOf(const WaitingGroup::Jobs::value_type& waiting) const;
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
    bool m_sharesApply = true; ///< False: the remaining capacity is assigned in placement order, regardless of shares.
    std::vector<Source> m_deferred;
    std::vector<OwnerJob*> m_startedJobs; ///< Jobs that started in this pass and leave their groups.
    std::set<std::string> m_unplaced; ///< Organisations with tasks that found no room.
    std::set<std::string> m_heldByQuota; ///< Organisations whose waiting jobs need quota, not instances.
};

} // namespace lanemoor::jobs
