#pragma once
/// \file
/// Organisations that submit jobs, with the API keys, quotas and weights that operators configure.

#include "lanemoor/jobs/model/api_key.h"
#include "lanemoor/jobs/model/job_spec.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

struct OrganisationSettings {
    std::string name;
    std::vector<ApiKeyDigest> keys; ///< Each key authenticates callers.
    double weight = 0; ///< Weight of its fair share of a full pool, and its rate in jobs a second; 0: no limit.
    Resources quota; ///< Limit on its running tasks over all workers; a resource of 0 has no limit.

    [[nodiscard]] bool operator==(const OrganisationSettings&) const = default;
};

/// A fault in a list of organisations.
enum class OrganisationFaultCode {
    NoName,
    DuplicateName,
    DuplicateKey, ///< Two organisations have the same key, so it does not identify the caller.
    NegativeQuota,
    NegativeWeight,
};

/// A fault with the name of its organisation.
struct OrganisationFault {
    OrganisationFaultCode code = OrganisationFaultCode::NoName;
    std::string organisation;

    [[nodiscard]] bool operator==(const OrganisationFault&) const = default;
};

/// \returns A short English text for `code`.
[[nodiscard]] std::string_view describe(OrganisationFaultCode code) noexcept;

/// \brief The organisations of one version of the configuration, by name and by key. Immutable; lookups take constant time.
class OrganisationTable {
public:
    OrganisationTable();

    /// A duplicate name or key belongs to the first organisation that has it.
    explicit OrganisationTable(std::vector<OrganisationSettings> organisations);

    /// \returns Whether there are no organisations; then no queue requires a key.
    [[nodiscard]] bool empty() const noexcept;

    [[nodiscard]] const std::vector<OrganisationSettings>& all() const noexcept;

    /// \returns The organisation with `name`, or null.
    [[nodiscard]] const OrganisationSettings* find(std::string_view name) const noexcept;

    /// \returns The organisation with the key, or null.
    [[nodiscard]] const OrganisationSettings* findByKey(const ApiKeyDigest& key) const noexcept;

    /// \returns All faults, in the order of the list.
    [[nodiscard]] std::vector<OrganisationFault> faults() const;

    [[nodiscard]] bool operator==(const OrganisationTable& other) const noexcept;

private:
    class Impl;
    std::shared_ptr<const Impl> m_impl;
};

} // namespace lanemoor::jobs
