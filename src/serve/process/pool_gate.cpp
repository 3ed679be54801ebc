#include "lanemoor/serve/process/pool_gate.h"

#include "lanemoor/decisions/endpoint_choice.h"
#include "lanemoor/net/http_connection.h"

#include <algorithm>

namespace lanemoor {

namespace {

/// Interval at which a waiting request checks whether its caller has disconnected.
constexpr Millis callerCheckInterval { 50 };

} // namespace

PoolGate::PoolGate(std::uint32_t maxWaiting)
    : m_maxWaiting(maxWaiting)
    , m_queue({ .slots = 0, .maxWaiting = maxWaiting })
{
}

void PoolGate::admitWaiting(Instant now)
{
    while (const std::optional<std::uint64_t> ticket = m_queue.start(now)) {
        Waiter& waiter = *m_waiters.at(*ticket);
        waiter.started = true;
        waiter.changed.notify_one();
    }
}

void PoolGate::expireWaiting(Instant now)
{
    for (const ExpiredTicket& expired : m_queue.expire(now)) {
        Waiter& waiter = *m_waiters.at(expired.id);
        waiter.refusal = expired.refusal;
        waiter.changed.notify_one();
    }
}

std::variant<std::uint64_t, AdmissionRefusal, CallerDisconnected> PoolGate::enter(const RequestContext& context, const PoolRoutes& routes, std::uint32_t teamQuota, int descriptor)
{
    std::unique_lock lock(m_mutex);
    m_queue.setLimits({ .slots = routes.slots, .maxWaiting = m_maxWaiting });
    m_queue.setQuota(context.team, teamQuota);
    const std::uint64_t ticket = m_nextTicket++;
    const Ticket offered { .id = ticket, .requestClass = context.requestClass, .team = context.team, .deadline = context.deadline };
    if (const std::optional<AdmissionRefusal> refusal = m_queue.offer(offered, currentInstant()))
        return *refusal;
    Waiter waiter;
    m_waiters.emplace(ticket, &waiter);
    admitWaiting(currentInstant());
    while (!waiter.started && !waiter.refusal) {
        waiter.changed.wait_until(lock, std::min<Instant>(context.deadline, currentInstant() + callerCheckInterval));
        if (!waiter.started && !waiter.refusal)
            expireWaiting(currentInstant());
        if (!waiter.started && !waiter.refusal && isClosedByPeer(descriptor)) {
            m_queue.cancel(ticket);
            m_waiters.erase(ticket);
            return CallerDisconnected {};
        }
    }
    m_waiters.erase(ticket);
    if (waiter.refusal)
        return *waiter.refusal;
    return ticket;
}

const Route* PoolGate::acquireEndpoint(const PoolRoutes& routes, const EndpointRegistry& registry, const TriedEndpoints& tried)
{
    const std::vector<std::string> ejected = registry.ejected(routes.members);
    std::vector<EndpointCandidate> candidates;
    for (std::size_t i = 0; i < routes.routes.size(); ++i) {
        const Route& route = routes.routes[i];
        candidates.push_back({
            .index = i,
            .inFlight = route.endpoint->inFlight(),
            .share = route.slots,
            .ejected = std::find(ejected.begin(), ejected.end(), route.endpoint->id()) != ejected.end(),
            .sameDomainAsTried = tried.racks.contains(route.rack),
            .tried = tried.endpoints.contains(route.endpoint->id()),
        });
    }
    std::uint64_t rotation = 0;
    {
        const std::lock_guard lock(m_mutex);
        rotation = m_nextRotation++;
    }
    while (const std::optional<std::size_t> chosen = chooseEndpoint(candidates, rotation)) {
        const Route& route = routes.routes[*chosen];
        if (route.endpoint->acquireSlot(route.slots))
            return &route;
        candidates[*chosen].tried = true; // Another thread took the last slot.
    }
    return nullptr;
}

void PoolGate::leave(std::uint64_t ticket, bool ran)
{
    const std::lock_guard lock(m_mutex);
    if (ran)
        m_queue.finish(ticket, currentInstant());
    else
        m_queue.cancel(ticket);
    admitWaiting(currentInstant());
}

} // namespace lanemoor
