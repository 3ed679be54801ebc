#pragma once
/// \file
/// What an entry instance knows of each endpoint for as long as the process lives.

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

/// \brief One endpoint: its requests in flight from here and its idle connections.
/// Safe for several threads.
class Endpoint {
public:
    Endpoint(std::string id, HttpAddress address);

    [[nodiscard]] const std::string& id() const noexcept { return m_id; }
    [[nodiscard]] const HttpAddress& address() const noexcept { return m_address; }

    /// \returns Whether one of `most` places for requests was free; it is then taken.
    [[nodiscard]] bool takeSlot(std::uint32_t most) noexcept { return take(m_inFlight, most); }
    void giveSlot() noexcept { m_inFlight.fetch_sub(1, std::memory_order_acq_rel); }

    /// \returns Whether one of `most` places for listeners was free; it is then taken.
    [[nodiscard]] bool takeListener(std::uint32_t most) noexcept { return take(m_listeners, most); }
    void giveListener() noexcept { m_listeners.fetch_sub(1, std::memory_order_acq_rel); }

    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight.load(std::memory_order_acquire); }
    [[nodiscard]] std::uint32_t listeners() const noexcept { return m_listeners.load(std::memory_order_acquire); }

    /// \returns A connection: a kept one for a repeatable request, else a fresh one.
    [[nodiscard]] std::unique_ptr<HttpConnection> connection(bool repeatable);

    /// \brief Keeps `connection` for another request, if it can carry one.
    void keep(std::unique_ptr<HttpConnection> connection);

private:
    [[nodiscard]] static bool take(std::atomic<std::uint32_t>& count, std::uint32_t most) noexcept;

    std::string m_id;
    HttpAddress m_address;
    std::atomic<std::uint32_t> m_inFlight { 0 };
    std::atomic<std::uint32_t> m_listeners { 0 };
    std::mutex m_mutex;
    std::vector<std::unique_ptr<HttpConnection>> m_idle;
};

/// \brief All endpoints seen so far, and which of them fail. Safe for several threads.
class EndpointRegistry {
public:
    /// \returns The endpoint `id` at `address`; a new one if its address has changed.
    [[nodiscard]] std::shared_ptr<Endpoint> at(const std::string& id, const HttpAddress& address);

    void onSuccess(const std::string& id);
    void onFailure(const std::string& id);

    /// \brief Notes that `id` itself said that it takes no new work.
    void onLeaving(const std::string& id);

    /// \returns Those of `members` to be left out now.
    [[nodiscard]] std::vector<std::string> ejected(const std::vector<std::string>& members) const;

    /// \returns Endpoints that fail all that this entry gives them.
    [[nodiscard]] std::set<std::string> failing() const;

    /// \returns Endpoints that said within the last seconds that they take no new work.
    [[nodiscard]] std::set<std::string> leaving() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<Endpoint>> m_endpoints;
    std::unordered_map<std::string, Instant> m_leavingUntil;
    EjectionTracker m_ejection;
};

} // namespace lanemoor
