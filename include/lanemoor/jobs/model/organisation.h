#pragma once
/// \file
/// Organisations that hand jobs in: their keys, quotas and shares, as operators configure them.

#include "lanemoor/jobs/model/api_key.h"
#include "lanemoor/jobs/model/job_spec.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// An organisation.
struct OrganisationSettings {
    std::string name;
    std::vector<ApiKeyDigest> keys; ///< Each of them lets a caller in.
    double weight = 0; ///< Its share when all is full, and the jobs a second that it is owed; 0: no limit.
    Resources quota; ///< What its tasks may take over all workers at once; a resource of 0 has no limit.

    [[nodiscard]] bool operator==(const OrganisationSettings&) const = default;
};

/// What is wrong with a list of organisations.
enum class OrganisationFaultCode {
    NoName,
    NameTwice,
    KeyTwice, ///< Two organisations hold one key: who called could not be told.
    NegativeQuota,
    NegativeWeight,
};

/// One fault, and whose.
struct OrganisationFault {
    OrganisationFaultCode code = OrganisationFaultCode::NoName;
    std::string organisation;

    [[nodiscard]] bool operator==(const OrganisationFault&) const = default;
};

/// \returns A short English text for `code`.
[[nodiscard]] std::string_view describe(OrganisationFaultCode code) noexcept;

/// \brief The organisations of one version of the configuration, by name and by key. Immutable.
///
/// A look-up takes the same time for one key and for ten thousand.
class OrganisationTable {
public:
    OrganisationTable();

    /// A name or key that comes twice belongs to the first organisation that has it.
    explicit OrganisationTable(std::vector<OrganisationSettings> organisations);

    /// \returns Whether there are none: then nobody is asked for a key.
    [[nodiscard]] bool empty() const noexcept;

    [[nodiscard]] const std::vector<OrganisationSettings>& all() const noexcept;

    /// \returns The organisation called `name`, or null.
    [[nodiscard]] const OrganisationSettings* find(std::string_view name) const noexcept;

    /// \returns The organisation that holds the key, or null.
    [[nodiscard]] const OrganisationSettings* holderOf(const ApiKeyDigest& key) const noexcept;

    /// \returns All that is wrong, in the order of the list.
    [[nodiscard]] std::vector<OrganisationFault> faults() const;

    [[nodiscard]] bool operator==(const OrganisationTable& other) const noexcept;

private:
    class Impl;
    std::shared_ptr<const Impl> m_impl;
};

} // namespace lanemoor::jobs
