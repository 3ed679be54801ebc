#pragma once
/// \file
/// Tracks the resources that organisations use, against their quotas and shares. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/organisation.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lanemoor::jobs {

/// \brief Token bucket that separates jobs within a rate from jobs beyond it.
///
/// Holds one second's worth of tokens, so that a burst within the rate passes.
class RateMeter {
public:
    /// \brief Takes a token for a job. \param perSecond The rate; 0: no limit.
    /// \returns Whether the job is within the rate.
    bool tryConsume(double perSecond, MonotonicInstant now);

private:
    double m_left = 0;
    std::optional<MonotonicInstant> m_countedAt;
};

/// Resource use of one organisation.
struct OrganisationAccount {
    /// By attempts that are not proved to have ended: running, stopping, commanded, with unknown outcome, or at unresponsive
    /// workers.
    Resources used;
    /// Estimate for attempts of a previous owner at workers that have not reported to this one yet.
    Resources unseen;
    RateMeter rate;
    std::uint64_t beyondRate = 0; ///< Jobs of this term beyond the organisation's rate.
    std::uint32_t heldTasks = 0; ///< Tasks that the quota blocked in the last pass.
    std::string name; ///< Of the organisation; set when the account is first used.
};

/// \brief Accounts of all organisations that have jobs, by name. Addresses of accounts are stable.
class OrganisationUse {
public:
    /// \returns The account, which is created for a new name.
    [[nodiscard]] OrganisationAccount& account(const std::string& name);

    /// \brief Resets the counts of the last pass.
    void startPass() noexcept;

    [[nodiscard]] const std::map<std::string, OrganisationAccount>& all() const noexcept { return m_accounts; }

private:
    std::map<std::string, OrganisationAccount> m_accounts;
};

/// \returns Whether `tasks` tasks that need `each` may start together within `quota`.
///
/// An organisation that uses less than half of its quota may exceed it by one task. Otherwise a task larger than half of the
/// quota could starve behind smaller ones, and a task larger than the whole quota could never run.
[[nodiscard]] bool fitsQuota(const OrganisationAccount& account, const Resources& quota, const Resources& each, std::uint32_t tasks);

/// \returns Share of the tasks of the widest step of `job` that may run at once within the remaining `quota`, from 0 to 1.
[[nodiscard]] double shareWithinQuota(const OrganisationAccount& account, const Resources& quota, const JobSpec& job);

} // namespace lanemoor::jobs
