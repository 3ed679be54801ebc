#pragma once
/// \file
/// Computes the shares of organisations in a full pool. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/job_spec.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

/// Use and demand of an organisation in a pool.
struct OrganisationDemand {
    std::string organisation;
    double weight = 0; ///< 0: the mean of the other weights.
    Resources used; ///< By unfinished attempts.
    Resources waiting; ///< By tasks that could start if there were room.

    [[nodiscard]] bool operator==(const OrganisationDemand&) const = default;
};

/// An organisation's part of a pool, measured by its dominant resource: processor time, memory or accelerators.
struct OrganisationShare {
    std::string organisation;
    double use = 0; ///< Part of the pool that it uses.
    double share = 0; ///< Part of the pool that it is entitled to, at most what it uses and asks for.
    bool waits = false; ///< It has tasks that could start if there were room.

    [[nodiscard]] bool isBelow() const noexcept;

    [[nodiscard]] bool operator==(const OrganisationShare&) const = default;
};

/// \brief Divides a pool by weighted max-min fairness of dominant shares (dominant resource fairness).
///
/// All shares grow in proportion to their weights. A share stops growing when it covers its organisation's demand, or when a
/// resource that the organisation needs is used up.
/// \returns Shares in the order of `demands`.
[[nodiscard]] std::vector<OrganisationShare> sharesOf(const std::vector<OrganisationDemand>& demands, const Resources& capacity);

/// \brief Shares of a pool during one placement pass, updated with the tasks that the pass starts.
///
/// \code
/// PoolShares shares(demands, capacity);
/// if (!shares.hasReachedShare("north"))
///     shares.noteStarted("north", needs);
/// \endcode
class PoolShares {
public:
    PoolShares(const std::vector<OrganisationDemand>& demands, const Resources& capacity);

    /// \returns Whether the organisation has reached its share, so that others come first. False for unknown organisations.
    [[nodiscard]] bool hasReachedShare(std::string_view organisation) const;

    /// \brief Records a started task.
    void noteStarted(std::string_view organisation, const Resources& needs);

    /// \returns Whether a task of the organisation was started since construction.
    [[nodiscard]] bool hasStarted(std::string_view organisation) const;

    [[nodiscard]] const std::vector<OrganisationShare>& all() const noexcept { return m_shares; }

private:
    [[nodiscard]] std::optional<std::size_t> find(std::string_view organisation) const;

    Resources m_capacity;
    std::vector<OrganisationShare> m_shares;
    std::vector<Resources> m_used;
    std::vector<bool> m_started;
    std::map<std::string, std::size_t, std::less<>> m_byName;
};

/// \brief Tracks organisations below their share whose tasks are too large for the free room.
///
/// While others fill each free core at once, a large task never finds room. An organisation that started nothing for
/// `starvedAfter` gets a claim: others beyond their share wait until it starts a task, for at most `memory`. If it
/// starts none, the others run for at least `memory` before the next claim.
class ShareDeficits {
public:
    /// \param memory Max duration of a claim.
    explicit ShareDeficits(Millis memory)
        : m_memory(memory)
    {
    }

    /// \brief Records the result of a pass for an organisation.
    /// \param isUnserved It is below its share, and its tasks found no room.
    void note(const std::string& pool, const std::string& organisation, bool isUnserved, MonotonicInstant now);

    /// \returns Whether an organisation has a claim on the pool now.
    [[nodiscard]] bool blocksOthers(const std::string& pool, MonotonicInstant now) const;

    /// Large tasks wait this long beside others before a claim begins: most room is freed within this time.
    static constexpr Millis starvedAfter { 500 };

private:
    Millis m_memory;
    std::map<std::string, std::map<std::string, MonotonicInstant>> m_unservedSince; ///< By pool and organisation.
};

} // namespace lanemoor::jobs
