#pragma once
/// \file
/// Claims on orders in the store; they prevent an order from running twice through several
/// entry instances.

#include "lanemoor/adapters/metrics.h"
#include "lanemoor/adapters/store.h"
#include "lanemoor/decisions/request.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <variant>

namespace lanemoor {

/// Progress of an order according to its claim in the store.
enum class ClaimState {
    Claimed, ///< The claiming entry instance may have sent it; the outcome is unknown.
    Ran, ///< The endpoint answered.
    NotRun, ///< The order did not run; its key may be claimed again.
};

/// The value in the store for an idempotency key.
struct OrderClaim {
    std::string claimant; ///< Identifies one claim attempt of one entry instance.
    ClaimState state = ClaimState::Claimed;
    unsigned status = 0; ///< HTTP status from the endpoint if the order ran.

    [[nodiscard]] bool operator==(const OrderClaim&) const = default;
};

/// \returns `claim` in the store's JSON format.
[[nodiscard]] std::string encodeClaim(const OrderClaim& claim);

/// \returns The claim; nothing if `text` is not a valid claim.
[[nodiscard]] std::optional<OrderClaim> decodeClaim(std::string_view text);

/// A claim held by this process, with the data needed to end it.
struct HeldClaim {
    std::string key; ///< The store's key.
    std::uint64_t version = 0;
    std::string claimant;
};

/// The claim could not be made, or its outcome could not be determined.
struct ClaimUnavailable { };

/// Outcome of a claim attempt: held, claimed by another, or store unavailable.
using ClaimAttempt = std::variant<HeldClaim, OrderClaim, ClaimUnavailable>;

/// \brief Makes one claim attempt. If the answer to the write is lost, the outcome is determined
/// by reading back the claimant, never by writing again.
[[nodiscard]] ClaimAttempt claimOrder(Store& store, const std::string& team, const std::string& idempotencyKey, const std::string& claimant);

/// \brief Claims orders for all threads of a process and ends the claims in the background.
///
/// Claims do not expire: an entry instance that is paused between its claim and its send is
/// still the only one that may send the order. Making a claim takes one store write and ending
/// it another one; the rate limit of claims bounds both.
class OrderClaims {
public:
    OrderClaims(const StoreFactory& factory, std::string claimantPrefix, std::uint32_t claimsPerSecond, Metrics& metrics);
    ~OrderClaims();
    OrderClaims(const OrderClaims&) = delete;
    OrderClaims& operator=(const OrderClaims&) = delete;

    /// \returns The outcome of the attempt; ClaimUnavailable also if the rate limit is reached.
    [[nodiscard]] ClaimAttempt claim(const std::string& team, const std::string& idempotencyKey);

    /// \brief Writes the outcome of the order in the background. Outcome Unknown writes nothing.
    void end(HeldClaim claim, RequestOutcome outcome, unsigned status);

private:
    /// A claim to be ended in the background, and the value to store for it.
    struct Ending {
        HeldClaim claim;
        OrderClaim result;
    };

    [[nodiscard]] bool consumeRateToken();
    [[nodiscard]] std::unique_ptr<Store> acquireStore();
    void returnStore(std::unique_ptr<Store> store);
    void writeEndings();

    const StoreFactory& m_factory;
    std::string m_claimantPrefix;
    std::uint32_t m_claimsPerSecond;
    Metrics& m_metrics;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<Store>> m_idleStores;
    std::deque<Ending> m_endings;
    std::uint64_t m_attempts = 0;
    double m_rateTokens = 0;
    Instant m_rateRefilledAt;
    bool m_stopping = false;
    std::thread m_writer;
};

} // namespace lanemoor
