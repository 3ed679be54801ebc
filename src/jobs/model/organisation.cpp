#include "lanemoor/jobs/model/organisation.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace lanemoor::jobs {

namespace {

struct DigestHash {
    std::size_t operator()(const ApiKeyDigest& digest) const noexcept { return digest.hash(); }
};

} // namespace

class OrganisationTable::Impl {
public:
    explicit Impl(std::vector<OrganisationSettings> list)
        : organisations(std::move(list))
    {
        for (std::size_t i = 0; i < organisations.size(); ++i) {
            byName.emplace(organisations[i].name, i);
            for (const ApiKeyDigest& key : organisations[i].keys)
                byKey.emplace(key, i);
        }
    }

    std::vector<OrganisationSettings> organisations;
    std::unordered_map<std::string_view, std::size_t> byName; ///< Views into `organisations`.
    std::unordered_map<ApiKeyDigest, std::size_t, DigestHash> byKey;
};

std::string_view describe(OrganisationFaultCode code) noexcept
{
    switch (code) {
    case OrganisationFaultCode::NoName:
        return "an organisation has no name";
    case OrganisationFaultCode::DuplicateName:
        return "two organisations have one name";
    case OrganisationFaultCode::DuplicateKey:
        return "another organisation holds the same key";
    case OrganisationFaultCode::NegativeQuota:
        return "a quota is negative";
    case OrganisationFaultCode::NegativeWeight:
        return "a weight is negative";
    }
    return "unknown fault";
}

OrganisationTable::OrganisationTable()
    : OrganisationTable(std::vector<OrganisationSettings> {})
{
}

OrganisationTable::OrganisationTable(std::vector<OrganisationSettings> organisations)
    : m_impl(std::make_shared<const Impl>(std::move(organisations)))
{
}

bool OrganisationTable::empty() const noexcept
{
    return m_impl->organisations.empty();
}

const std::vector<OrganisationSettings>& OrganisationTable::all() const noexcept
{
    return m_impl->organisations;
}

const OrganisationSettings* OrganisationTable::find(std::string_view name) const noexcept
{
    const auto found = m_impl->byName.find(name);
    return found == m_impl->byName.end() ? nullptr : &m_impl->organisations[found->second];
}

const OrganisationSettings* OrganisationTable::findByKey(const ApiKeyDigest& key) const noexcept
{
    const auto found = m_impl->byKey.find(key);
    return found == m_impl->byKey.end() ? nullptr : &m_impl->organisations[found->second];
}

std::vector<OrganisationFault> OrganisationTable::faults() const
{
    std::vector<OrganisationFault> faults;
    for (std::size_t i = 0; i < m_impl->organisations.size(); ++i) {
        const OrganisationSettings& organisation = m_impl->organisations[i];
        const auto note = [&](OrganisationFaultCode code) { faults.push_back({ code, organisation.name }); };
        if (organisation.name.empty())
            note(OrganisationFaultCode::NoName);
        else if (m_impl->byName.at(organisation.name) != i)
            note(OrganisationFaultCode::DuplicateName);
        if (std::any_of(organisation.keys.begin(), organisation.keys.end(), [&](const ApiKeyDigest& key) { return m_impl->byKey.at(key) != i; }))
            note(OrganisationFaultCode::DuplicateKey);
        if (organisation.quota.milliCpu < 0 || organisation.quota.memoryMb < 0 || organisation.quota.accelerators < 0)
            note(OrganisationFaultCode::NegativeQuota);
        if (organisation.weight < 0)
            note(OrganisationFaultCode::NegativeWeight);
    }
    return faults;
}

bool OrganisationTable::operator==(const OrganisationTable& other) const noexcept
{
    return m_impl == other.m_impl || m_impl->organisations == other.m_impl->organisations;
}

} // namespace lanemoor::jobs
