#include "lanemoor/aio/connection_budget.h"

#include <algorithm>

namespace lanemoor::aio {

namespace {

constexpr std::array<ConnectionPhase, 4> orderForConnections { ConnectionPhase::Closing, ConnectionPhase::Idle, ConnectionPhase::Reading, ConnectionPhase::Writing };
constexpr std::array<ConnectionPhase, 4> orderForMemory { ConnectionPhase::Closing, ConnectionPhase::Reading, ConnectionPhase::Writing, ConnectionPhase::Idle };

} // namespace

std::string_view nameOf(RefusalReason reason) noexcept
{
    switch (reason) {
    case RefusalReason::Connections:
        return "connections";
    case RefusalReason::Memory:
        return "memory";
    case RefusalReason::Header:
        return "header";
    case RefusalReason::Body:
        return "body";
    case RefusalReason::Malformed:
        return "malformed";
    }
    return "unknown";
}

ConnectionBudget::ConnectionBudget(ConnectionBudgetOptions options)
    : m_options(options)
{
}

std::optional<ConnectionBudget::Id> ConnectionBudget::open(jobs::MonotonicInstant now, Close close)
{
    if (m_entries.size() >= m_options.maxConnections) {
        const auto phase = std::find_if(orderForConnections.begin(), orderForConnections.end(), [this](ConnectionPhase candidate) { return !orderOf(candidate).empty(); });
        if (phase == orderForConnections.end())
            return std::nullopt;
        evict(orderOf(*phase).begin()->second, RefusalReason::Connections);
    }
    const Id id = ++m_lastId;
    m_entries.emplace(id, Entry { .close = std::move(close), .since = now });
    orderOf(ConnectionPhase::Idle).emplace(now, id);
    return id;
}

void ConnectionBudget::remove(Id id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    const Entry& entry = found->second;
    orderOf(entry.phase).erase({ entry.since, id });
    m_bytes -= entry.bytes;
    m_handlingBytes -= entry.phase == ConnectionPhase::Handling ? entry.bytes : 0;
    m_entries.erase(found);
}

void ConnectionBudget::enter(Id id, ConnectionPhase phase, jobs::MonotonicInstant now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    m_handlingBytes -= entry.phase == ConnectionPhase::Handling ? entry.bytes : 0;
    m_handlingBytes += phase == ConnectionPhase::Handling ? entry.bytes : 0;
    orderOf(entry.phase).erase({ entry.since, id });
    entry.phase = phase;
    entry.since = now;
    orderOf(phase).emplace(now, id);
}

bool ConnectionBudget::reserve(Id id, std::uint64_t bytes)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return false;
    Entry& entry = found->second; // Stays valid while others are erased.
    const bool isHandling = entry.phase == ConnectionPhase::Handling;
    if (bytes > entry.bytes) {
        const std::uint64_t fixed = m_handlingBytes - (isHandling ? entry.bytes : 0);
        if (fixed + bytes > m_options.maxBytes)
            return false;
        while (m_bytes - entry.bytes + bytes > m_options.maxBytes) {
            const std::optional<Id> victim = oldestWithMemory(id);
            if (!victim || *victim == id)
                return false;
            evict(*victim, RefusalReason::Memory);
        }
    }
    m_bytes += bytes - entry.bytes;
    m_handlingBytes += isHandling ? bytes - entry.bytes : 0;
    entry.bytes = bytes;
    return true;
}

std::optional<ConnectionBudget::Id> ConnectionBudget::oldestWithMemory(Id requester)
{
    bool isRequesterOldest = false;
    for (const ConnectionPhase phase : orderForMemory) {
        for (const auto& [since, candidate] : orderOf(phase)) {
            if (candidate == requester)
                isRequesterOldest = phase == ConnectionPhase::Reading;
            else if (m_entries.at(candidate).bytes > 0)
                return isRequesterOldest && phase != ConnectionPhase::Idle ? requester : candidate;
        }
    }
    return std::nullopt;
}

void ConnectionBudget::evict(Id id, RefusalReason reason)
{
    const Close close = std::move(m_entries.at(id).close);
    remove(id);
    close(reason);
}

} // namespace lanemoor::aio
