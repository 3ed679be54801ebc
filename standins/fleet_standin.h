#pragma once
/// \file
/// A stand-in for the platform's instance list and worker control.

#include "lanemoor/net/http_server.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace lanemoor::standins {

/// \brief Registered workers, listed with a delay.
///
/// A thread polls the state of each worker; the list shows the states as of `lag` ago. A worker
/// that can't be reached is missing from the list.
class FleetStandin {
public:
    explicit FleetStandin(std::chrono::milliseconds lag);
    ~FleetStandin();
    FleetStandin(const FleetStandin&) = delete;
    FleetStandin& operator=(const FleetStandin&) = delete;

    /// \brief Handles a request whose path begins with /v1/instances.
    void handle(HttpExchange& exchange);

    void setListUnavailable(bool unavailable);

private:
    using Clock = std::chrono::steady_clock;

    struct Worker {
        HttpAddress address;
        std::string description; ///< The JSON of the registration.
        std::string state; ///< The last reported JSON; empty if unreachable.
        bool isObserved = true; ///< False: listed as registered, without calls to it.
    };

    /// The list as of one time.
    struct Listing {
        Clock::time_point at;
        std::string text;
    };

    void answerList(HttpExchange& exchange);
    void registerWorker(HttpExchange& exchange);
    void control(HttpExchange& exchange, const std::string& id, const std::string& action);
    void observe();
    void recordListing(const std::map<std::string, std::string>& states);
    [[nodiscard]] std::string listing() const;

    std::chrono::milliseconds m_lag;
    mutable std::mutex m_mutex;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, std::uint64_t> m_newestEpoch; ///< By instance; late actions of an older holder are refused.
    std::set<std::pair<std::string, std::uint64_t>> m_rebooted; ///< Reboots that were requested, by instance and grant.
    std::deque<Listing> m_listings;
    bool m_listUnavailable = false;
    bool m_stopping = false;
    std::thread m_observer;
};

} // namespace lanemoor::standins
