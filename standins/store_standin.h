#pragma once
/// \file
/// A stand-in for the platform's key-value service.

#include "lanemoor/net/http_server.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace lanemoor::standins {

/// Faults of the store.
struct StoreFaults {
    bool unavailable = false; ///< Every call is aborted without response and effect.
    int answersToLose = 0; ///< Number of writes that take effect without a response.
    std::chrono::milliseconds delay { 0 }; ///< Delay of each call.
};

/// \brief An in-memory store with compare-and-swap, watches and leases.
class StoreStandin {
public:
    /// \brief Handles a request whose path begins with /v1/kv/ or /v1/leases/.
    void handle(HttpExchange& exchange);

    void setFaults(const StoreFaults& faults);

    /// \returns The number of calls so far; a long-polling watch counts as one.
    [[nodiscard]] std::uint64_t calls() const;

private:
    using Clock = std::chrono::steady_clock;

    struct Value {
        std::uint64_t version = 0;
        std::string body;
    };

    struct HeldLease {
        std::string holder;
        std::uint64_t epoch = 0;
        Clock::time_point expiresAt;
    };

    void answerGet(HttpExchange& exchange, const std::string& key);
    void answerPut(HttpExchange& exchange, const std::string& key);
    void answerAcquire(HttpExchange& exchange, const std::string& name);
    void answerRelease(HttpExchange& exchange, const std::string& name);
    [[nodiscard]] bool losesAnswer();

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Value> m_values;
    std::map<std::string, HeldLease> m_leases;
    StoreFaults m_faults;
    std::uint64_t m_calls = 0;
};

} // namespace lanemoor::standins
