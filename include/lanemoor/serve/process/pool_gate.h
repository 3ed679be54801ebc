#pragma once
/// \file
/// Lets requests through to the endpoints of one pool, as many as they have slots.

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

/// What has been tried for a request, so that a retry goes elsewhere.
struct TriedEndpoints {
    std::set<std::string> endpoints;
    std::set<std::string> racks;
};

/// The caller gave up while its request waited.
struct CallerGone { };

/// \brief The admission queue of a pool, for threads that wait in it.
///
/// A waiting request is answered at once when it can't make its deadline any more.
class PoolGate {
public:
    explicit PoolGate(std::uint32_t mostWaiting);

    /// \brief Waits for the turn of a request.
    /// \param descriptor The caller's socket.
    /// \returns The ticket's number, or why there is none.
    [[nodiscard]] std::variant<std::uint64_t, AdmissionRefusal, CallerGone> enter(const RequestContext& context, const PoolRoutes& routes, std::uint32_t teamQuota, int descriptor);

    /// \brief Takes a slot of an endpoint for a request that was let in.
    /// \returns The route, or null if every endpoint is full, ejected or tried.
    [[nodiscard]] const Route* takeEndpoint(const PoolRoutes& routes, const EndpointRegistry& registry, const TriedEndpoints& tried);

    /// \brief Ends a request that was let in.
    /// \param ran Whether its time is one to learn from.
    void leave(std::uint64_t ticket, bool ran);

private:
    struct Waiter {
        std::condition_variable changed;
        bool started = false;
        std::optional<AdmissionRefusal> refusal;
    };

    void startWaiting(Instant now);
    void expireWaiting(Instant now);

    std::mutex m_mutex;
    std::uint32_t m_mostWaiting;
    AdmissionQueue m_queue;
    std::map<std::uint64_t, Waiter*> m_waiters;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_turn = 0;
};

} // namespace lanemoor
