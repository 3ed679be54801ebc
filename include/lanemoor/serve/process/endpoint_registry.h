#pragma once
/// \file
/// State of each endpoint in an entry instance, kept for the lifetime of the process.

#include "lanemoor/decisions/ejection.h"
#include "lanemoor/decisions/time.h"
#include "lanemoor/net/http_connection.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lanemoor {

/// \brief One endpoint with the requests in flight from this entry instance and its idle
/// connections. Thread-safe.
class Endpoint {
public:
    Endpoint(std::string id, HttpAddress address);

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const HttpAddress& address() const noexcept { return m_address; }

    /// \brief Acquires one of `limit` request slots.
    /// \returns False if all slots are in use.
    [[nodiscard]] bool acquireSlot(std::uint32_t limit) noexcept { return acquire(m_inFlight, limit); }
    void releaseSlot() noexcept { m_inFlight.fetch_sub(1, std::memory_order_acq_rel); }

    /// \brief Acquires one of `limit` listener slots.
    /// \returns False if all slots are in use.
    [[nodiscard]] bool acquireListener(std::uint32_t limit) noexcept { return acquire(m_listeners, limit); }
    void releaseListener() noexcept { m_listeners.fetch_sub(1, std::memory_order_acq_rel); }

    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight.load(std::memory_order_acquire); }
    [[nodiscard]] std::uint32_t listeners() const noexcept { return m_listeners.load(std::memory_order_acquire); }

    /// \returns An idle connection for a repeatable request if there is one, otherwise a new one.
    [[nodiscard]] std::unique_ptr<HttpConnection> connection(bool repeatable);

    /// \brief Keeps `connection` for reuse if it is reusable.
    void keep(std::unique_ptr<HttpConnection> connection);

private:
    [[nodiscard]] static bool acquire(std::atomic<std::uint32_t>& count, std::uint32_t limit) noexcept;

    std::string m_id;
    HttpAddress m_address;
    std::atomic<std::uint32_t> m_inFlight { 0 };
    std::atomic<std::uint32_t> m_listeners { 0 };
    std::mutex m_mutex;
    std::vector<std::unique_ptr<HttpConnection>> m_idle;
};

/// \brief All endpoints seen so far, with their failures. Thread-safe.
class EndpointRegistry {
public:
    /// \returns The endpoint `id` at `address`. A changed address creates a new endpoint.
    [[nodiscard]] std::shared_ptr<Endpoint> at(const std::string& id, const HttpAddress& address);

    void onSuccess(const std::string& id);
    void onFailure(const std::string& id);

    /// \brief Records that endpoint `id` reported that it accepts no new work.
    void onLeaving(const std::string& id);

    /// \returns The `members` that currently get no requests.
    [[nodiscard]] std::vector<std::string> ejected(const std::vector<std::string>& members) const;

    /// \returns Endpoints that fail all requests of this entry instance.
    [[nodiscard]] std::set<std::string> failing() const;

    /// \returns Endpoints that reported within the last seconds that they accept no new work.
    [[nodiscard]] std::set<std::string> leaving() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<Endpoint>> m_endpoints;
    std::unordered_map<std::string, Instant> m_leavingUntil;
    EjectionTracker m_ejection;
};

} // namespace lanemoor
