#pragma once
/// \file
/// Admission of requests to the endpoints of one pool, limited by their slots.

#include "lanemoor/decisions/admission.h"
#include "lanemoor/serve/request/request_context.h"
#include "lanemoor/serve/version/routing_table.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace lanemoor {

/// Endpoints and racks already tried for a request; a retry avoids them.
struct TriedEndpoints {
    std::set<std::string> endpoints;
    std::set<std::string> racks;
};

/// The caller disconnected while its request waited.
struct CallerDisconnected { };

/// \brief The admission queue of a pool. A waiting request blocks its thread.
///
/// A waiting request that can no longer meet its deadline is refused at once.
class PoolGate {
public:
    explicit PoolGate(std::uint32_t maxWaiting);

    /// \brief Waits until a request is admitted.
    /// \param descriptor The caller's socket.
    /// \returns The ticket number, the refusal, or CallerDisconnected.
    [[nodiscard]] std::variant<std::uint64_t, AdmissionRefusal, CallerDisconnected> enter(const RequestContext& context, const PoolRoutes& routes, std::uint32_t teamQuota, int descriptor);

    /// \brief Acquires an endpoint slot for an admitted request.
    /// \returns The route, or null if every endpoint is full, ejected or tried.
    [[nodiscard]] const Route* acquireEndpoint(const PoolRoutes& routes, const EndpointRegistry& registry, const TriedEndpoints& tried);

    /// \brief Ends an admitted request.
    /// \param ran Whether the request ran, so that its duration counts in the expected run time.
    void leave(std::uint64_t ticket, bool ran);

private:
    struct Waiter {
        std::condition_variable changed;
        bool started = false;
        std::optional<AdmissionRefusal> refusal;
    };

    void admitWaiting(Instant now);
    void expireWaiting(Instant now);

    std::mutex m_mutex;
    std::uint32_t m_maxWaiting;
    AdmissionQueue m_queue;
    std::map<std::uint64_t, Waiter*> m_waiters;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_nextRotation = 0;
};

} // namespace lanemoor
