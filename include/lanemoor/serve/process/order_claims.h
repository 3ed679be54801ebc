#pragma once
/// \file
/// Claims on orders in the store, so that none runs twice through any entry instance.

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

/// How far an order has come, as its claim in the store tells.
enum class ClaimState {
    Claimed, ///< Its entry may have sent it; the outcome is unknown.
    Ran, ///< The endpoint answered.
    NotRun, ///< It did not run; the key may be claimed again.
};

/// What the store holds under an idempotency key.
struct OrderClaim {
    std::string claimant; ///< Unique to one attempt of one entry instance.
    ClaimState state = ClaimState::Claimed;
    unsigned status = 0; ///< The endpoint's status, if it ran.

    [[nodiscard]] bool operator==(const OrderClaim&) const = default;
};

/// \returns `claim` as text for the store.
[[nodiscard]] std::string encodeClaim(const OrderClaim& claim);

/// \returns The claim, or nothing if `text` is not one.
[[nodiscard]] std::optional<OrderClaim> decodeClaim(std::string_view text);

/// A claim of this process, needed to end it.
struct HeldClaim {
    std::string key; ///< Of the store.
    std::uint64_t version = 0;
    std::string claimant;
};

/// The claim could not be made or seen through.
struct ClaimUnavailable { };

/// Outcome of an attempt to claim: held, another's, or the store is away.
using ClaimAttempt = std::variant<HeldClaim, OrderClaim, ClaimUnavailable>;

/// \brief Makes one claim attempt. A write whose answer is lost is settled by reading
/// the claimant back, never by writing again.
[[nodiscard]] ClaimAttempt claimOrder(Store& store, const std::string& team, const std::string& idempotencyKey, const std::string& claimant);

/// \brief Claims orders for all threads of a process and ends the claims in the background.
///
/// A claim never lapses by time: an entry that was frozen between its claim and its
/// send is still the only one that may send. One store write makes a claim and one
/// ends it; both are bounded by a rate.
class OrderClaims {
public:
    OrderClaims(const StoreFactory& factory, std::string claimantPrefix, std::uint32_t claimsPerSecond, Metrics& metrics);
    ~OrderClaims();
    OrderClaims(const OrderClaims&) = delete;
    OrderClaims& operator=(const OrderClaims&) = delete;

    /// \returns How the attempt went; ClaimUnavailable too if the rate is spent.
    [[nodiscard]] ClaimAttempt claim(const std::string& team, const std::string& idempotencyKey);

    /// \brief Writes in the background how the order ended. Unknown writes nothing.
    void end(HeldClaim claim, RequestOutcome outcome, unsigned status);

private:
    struct Ending {
        HeldClaim claim;
        OrderClaim result;
    };

    [[nodiscard]] bool takeRate();
    [[nodiscard]] std::unique_ptr<Store> takeStore();
    void keepStore(std::unique_ptr<Store> store);
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
    double m_saved = 0;
    Instant m_savedAt;
    bool m_stopping = false;
    std::thread m_writer;
};

} // namespace lanemoor
