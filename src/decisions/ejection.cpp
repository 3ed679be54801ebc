#include "lanemoor/decisions/ejection.h"

namespace lanemoor {

namespace {

constexpr std::uint32_t failuresToEject = 3;
constexpr Millis firstEjection = std::chrono::seconds(2);
constexpr std::uint32_t maxDoublings = 5;

} // namespace

void EjectionTracker::onSuccess(const std::string& endpoint)
{
    m_records.erase(endpoint);
}

void EjectionTracker::onFailure(const std::string& endpoint, Instant now)
{
    Record& record = m_records[endpoint];
    ++record.failures;
    if (record.failures < failuresToEject || now < record.backoff.until())
        return;
    record.backoff.begin(now, firstEjection, maxDoublings);
}

std::vector<std::string> EjectionTracker::ejected(const std::vector<std::string>& members, Instant now) const
{
    std::vector<std::string> result;
    const std::size_t maxEjected = members.size() / 2;
    for (const std::string& member : members) {
        const auto record = m_records.find(member);
        if (result.size() < maxEjected && record != m_records.end() && now < record->second.backoff.until())
            result.push_back(member);
    }
    return result;
}

std::vector<std::string> EjectionTracker::failing() const
{
    std::vector<std::string> result;
    for (const auto& [endpoint, record] : m_records) {
        if (record.failures >= failuresToEject)
            result.push_back(endpoint);
    }
    return result;
}

} // namespace lanemoor
