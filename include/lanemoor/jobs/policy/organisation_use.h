#pragma once
/// \file
/// What organisations have running, against their quotas and shares. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/organisation.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lanemoor::jobs {

/// \brief Counts jobs against a rate: what comes beyond it is told apart.
///
/// Holds one second's worth, so that a burst within the rate counts as such.
class RateMeter {
public:
    /// \brief Notes a job. \param perSecond The rate; 0: no limit.
    /// \returns Whether the job is within the rate.
    bool take(double perSecond, MonotonicInstant now);

private:
    double m_left = 0;
    std::optional<MonotonicInstant> m_countedAt;
};

/// What one organisation takes of the fleet.
struct OrganisationAccount {
    /// Of all attempts that are not over by proof: running, being stopped, ordered, in doubt, or at silent workers.
    Resources used;
    /// What attempts of an earlier owner may take at workers that nobody has asked yet.
    Resources unseen;
    RateMeter rate;
    std::uint64_t beyondRate = 0; ///< Jobs of this term that came beyond the organisation's rate.
    std::uint32_t heldTasks = 0; ///< Tasks that the quota held back in the last pass.
    std::string name; ///< Of the organisation; set with the first use of the account.
};

/// \brief Accounts of all organisations that have jobs, by name. Addresses of accounts are stable.
class OrganisationUse {
public:
    /// \returns The account; a new one for a name not seen before.
    [[nodiscard]] OrganisationAccount& account(const std::string& name);

    /// \brief Forgets what the last pass counted.
    void startPass() noexcept;

    [[nodiscard]] const std::map<std::string, OrganisationAccount>& all() const noexcept { return m_accounts; }

private:
    std::map<std::string, OrganisationAccount> m_accounts;
};

/// \returns Whether `tasks` tasks that need `each` may start together within `quota`.
///
/// An organisation that holds less than half of its quota may pass it by one task: without that, a
/// task larger than half of the quota might wait behind smaller ones for ever, and one larger than
/// the whole would never run.
[[nodiscard]] bool fitsQuota(const OrganisationAccount& account, const Resources& quota, const Resources& each, std::uint32_t tasks);

/// \returns Of the widest step of `job`, the part that may run at once within what is left of `quota`,
/// from 0 to 1.
[[nodiscard]] double shareWithinQuota(const OrganisationAccount& account, const Resources& quota, const JobSpec& job);

} // namespace lanemoor::jobs
