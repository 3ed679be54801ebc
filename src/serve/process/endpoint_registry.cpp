#include "lanemoor/serve/process/endpoint_registry.h"

#include <utility>

namespace lanemoor {

namespace {

/// An endpoint that refused new work gets no requests for this long.
constexpr Millis leavingDuration = std::chrono::seconds(5);

} // namespace

Endpoint::Endpoint(std::string id, HttpAddress address)
    : m_id(std::move(id))
    , m_address(std::move(address))
{
}

bool Endpoint::acquire(std::atomic<std::uint32_t>& count, std::uint32_t limit) noexcept
{
    std::uint32_t inUse = count.load(std::memory_order_acquire);
    while (inUse < limit) {
        if (count.compare_exchange_weak(inUse, inUse + 1, std::memory_order_acq_rel))
            return true;
    }
    return false;
}

std::unique_ptr<HttpConnection> Endpoint::connection(bool repeatable)
{
    const std::lock_guard lock(m_mutex);
    while (!m_idle.empty()) {
        std::unique_ptr<HttpConnection> idle = std::move(m_idle.back());
        m_idle.pop_back();
        // A non-repeatable request gets a new connection, and the idle one is closed so that
        // connections never outnumber requests.
        if (!repeatable)
            break;
        if (idle->isReusable())
            return idle;
    }
    return std::make_unique<HttpConnection>(m_address);
}

void Endpoint::keep(std::unique_ptr<HttpConnection> connection)
{
    if (!connection->isReusable())
        return;
    const std::lock_guard lock(m_mutex);
    m_idle.push_back(std::move(connection));
}

std::shared_ptr<Endpoint> EndpointRegistry::at(const std::string& id, const HttpAddress& address)
{
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<Endpoint>& endpoint = m_endpoints[id];
    const bool sameAddress = endpoint && endpoint->address().ip == address.ip && endpoint->address().port == address.port;
    if (!sameAddress)
        endpoint = std::make_shared<Endpoint>(id, address);
    return endpoint;
}

void EndpointRegistry::onSuccess(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    m_ejection.onSuccess(id);
}

void EndpointRegistry::onFailure(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    m_ejection.onFailure(id, currentInstant());
}

void EndpointRegistry::onLeaving(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    m_leavingUntil[id] = currentInstant() + leavingDuration;
}

std::vector<std::string> EndpointRegistry::ejected(const std::vector<std::string>& members) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> out = m_ejection.ejected(members, currentInstant());
    for (const std::string& member : members) {
        const auto leaving = m_leavingUntil.find(member);
        if (leaving != m_leavingUntil.end() && currentInstant() < leaving->second)
            out.push_back(member);
    }
    return out;
}

std::set<std::string> EndpointRegistry::failing() const
{
    const std::lock_guard lock(m_mutex);
    const std::vector<std::string> failing = m_ejection.failing();
    return { failing.begin(), failing.end() };
}

std::set<std::string> EndpointRegistry::leaving() const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> result;
    for (const auto& [id, until] : m_leavingUntil) {
        if (currentInstant() < until)
            result.insert(id);
    }
    return result;
}

} // namespace lanemoor
