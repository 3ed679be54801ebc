#pragma once
/// \file
/// Shares of organisations in a full pool. Pure.

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

/// What an organisation has and asks of a pool.
struct OrganisationDemand {
    std::string organisation;
    double weight = 0; ///< 0: as much as the mean of the others.
    Resources used; ///< Of attempts that are not over.
    Resources waiting; ///< Of tasks that could start if there were room.

    [[nodiscard]] bool operator==(const OrganisationDemand&) const = default;
};

/// An organisation's part of a pool, by the resource of which it takes the largest part: processor time, memory or accelerators.
struct OrganisationShare {
    std::string organisation;
    double use = 0; ///< What it has running, as a part of the pool.
    double share = 0; ///< What it is owed, as a part of the pool: never more than it uses and asks for.
    bool waits = false; ///< It has tasks that could start if there were room.

    [[nodiscard]] bool isBelow() const noexcept;

    [[nodiscard]] bool operator==(const OrganisationShare&) const = default;
};

/// \brief Divides a pool by weighted max-min fairness of dominant shares (dominant resource fairness).
///
/// All shares grow in proportion to their weights. One stops growing when it covers what its organisation asks for, or when a resource
/// that the organisation needs is used up.
/// \returns Shares in the order of `demands`.
[[nodiscard]] std::vector<OrganisationShare> sharesOf(const std::vector<OrganisationDemand>& demands, const Resources& capacity);

/// \brief Shares of a pool during one placement pass, with what the pass starts.
///
/// \code
/// PoolShares shares(demands, capacity);
/// if (!shares.isBeyond("north"))
///     shares.noteStarted("north", needs);
/// \endcode
class PoolShares {
public:
    PoolShares(const std::vector<OrganisationDemand>& demands, const Resources& capacity);

    /// \returns Whether the organisation has its share already, so that others come first. Unknown ones are never beyond.
    [[nodiscard]] bool isBeyond(std::string_view organisation) const;

    /// \brief Notes a task that was started.
    void noteStarted(std::string_view organisation, const Resources& needs);

    /// \returns Whether the organisation started something since the construction.
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

/// \brief Remembers which organisations below their share get no room, because their tasks are wider than what is free.
///
/// While others fill each free core at once, a wide task never finds room. An organisation that started nothing for `starvedAfter` has
/// a claim: others beyond their share wait until it starts something, for `memory` at most. Then they go on for as long.
class ShareDeficits {
public:
    /// \param memory How long a claim lasts.
    explicit ShareDeficits(Millis memory)
        : m_memory(memory)
    {
    }

    /// \brief Notes how an organisation fared in a pass.
    /// \param isUnserved It is below its share, and its tasks found no room.
    void note(const std::string& pool, const std::string& organisation, bool isUnserved, MonotonicInstant now);

    /// \returns Whether somebody has a claim on the pool now.
    [[nodiscard]] bool holdsOthersBack(const std::string& pool, MonotonicInstant now) const;

    /// Wide tasks wait this long beside others before a claim begins: most rooms are freed within it.
    static constexpr Millis starvedAfter { 500 };

private:
    Millis m_memory;
    std::map<std::string, std::map<std::string, MonotonicInstant>> m_unservedSince; ///< By pool and organisation.
};

} // namespace lanemoor::jobs
