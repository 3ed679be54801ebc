#include "lanemoor/serve/process/order_claims.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace lanemoor {

namespace {

constexpr std::array<std::string_view, 3> stateNames { "claimed", "ran", "not-run" };
/// Attempts to read back a write whose answer was lost.
constexpr int readBackAttempts = 3;
/// Max queued claim endings. When the queue is full the oldest is dropped, and its outcome stays unknown.
constexpr std::size_t maxEndings = 10'000;
constexpr Millis endingRetryDelay { 1'000 };
constexpr int endingAttempts = 5;

/// \returns The store key of an order, hex-encoded so that any bytes are valid.
std::string storeKey(const std::string& team, const std::string& idempotencyKey)
{
    std::string key = "orders-";
    for (const char c : team + '\n' + idempotencyKey) {
        char hex[4];
        std::snprintf(hex, sizeof hex, "%02x", static_cast<unsigned char>(c));
        key += hex;
    }
    return key;
}

std::optional<ClaimAttempt> readBackOutcome(Store& store, const std::string& key, const std::string& claimant)
{
    for (int attempt = 0; attempt < readBackAttempts; ++attempt) {
        const std::optional<StoredValue> stored = store.get(key);
        if (!stored && store.lastFault() != StoreFault::NotFound)
            continue;
        if (!stored)
            return std::nullopt;
        const std::optional<OrderClaim> found = decodeClaim(stored->body);
        if (!found)
            return ClaimAttempt(OrderClaim {}); // Unreadable, so it is unknown whether the order ran.
        if (found->claimant == claimant)
            return ClaimAttempt(HeldClaim { .key = key, .version = stored->version, .claimant = claimant });
        return ClaimAttempt(*found);
    }
    return ClaimAttempt(ClaimUnavailable {});
}

/// Claims the key of an order that did not run.
ClaimAttempt reclaim(Store& store, const std::string& key, const std::string& claimant)
{
    const std::optional<StoredValue> stored = store.get(key);
    const std::optional<OrderClaim> found = stored ? decodeClaim(stored->body) : std::nullopt;
    if (!found || found->state != ClaimState::NotRun)
        return found ? ClaimAttempt(*found) : ClaimAttempt(ClaimUnavailable {});
    const std::string body = encodeClaim({ .claimant = claimant });
    if (const std::optional<std::uint64_t> version = store.put(key, body, stored->version))
        return HeldClaim { .key = key, .version = *version, .claimant = claimant };
    return readBackOutcome(store, key, claimant).value_or(ClaimUnavailable {});
}

} // namespace

std::string encodeClaim(const OrderClaim& claim)
{
    const nlohmann::json json {
        { "claimant", claim.claimant },
        { "state", stateNames.at(static_cast<std::size_t>(claim.state)) },
        { "status", claim.status },
    };
    return json.dump();
}

std::optional<OrderClaim> decodeClaim(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.value("claimant", nlohmann::json()).is_string() || !json.value("state", nlohmann::json()).is_string())
        return std::nullopt;
    const auto state = std::find(stateNames.begin(), stateNames.end(), json["state"].get<std::string>());
    if (state == stateNames.end() || !json.value("status", nlohmann::json()).is_number_unsigned())
        return std::nullopt;
    return OrderClaim {
        .claimant = json["claimant"].get<std::string>(),
        .state = static_cast<ClaimState>(state - stateNames.begin()),
        .status = json["status"].get<unsigned>(),
    };
}

ClaimAttempt claimOrder(Store& store, const std::string& team, const std::string& idempotencyKey, const std::string& claimant)
{
    const std::string key = storeKey(team, idempotencyKey);
    if (const std::optional<std::uint64_t> version = store.put(key, encodeClaim({ .claimant = claimant }), 0))
        return HeldClaim { .key = key, .version = *version, .claimant = claimant };
    if (store.lastFault() == StoreFault::Unreachable)
        return ClaimUnavailable {};
    ClaimAttempt found = readBackOutcome(store, key, claimant).value_or(ClaimUnavailable {});
    const auto* existing = std::get_if<OrderClaim>(&found);
    if (existing && existing->state == ClaimState::NotRun)
        return reclaim(store, key, claimant);
    return found;
}

OrderClaims::OrderClaims(const StoreFactory& factory, std::string claimantPrefix, std::uint32_t claimsPerSecond, Metrics& metrics)
    : m_factory(factory)
    , m_claimantPrefix(std::move(claimantPrefix))
    , m_claimsPerSecond(claimsPerSecond)
    , m_metrics(metrics)
    , m_rateTokens(claimsPerSecond)
    , m_rateRefilledAt(currentInstant())
    , m_writer([this] { writeEndings(); })
{
}

OrderClaims::~OrderClaims()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_writer.join();
}

bool OrderClaims::consumeRateToken()
{
    const std::lock_guard lock(m_mutex);
    const Instant now = currentInstant();
    const double refilled = std::chrono::duration<double>(now - m_rateRefilledAt).count() * m_claimsPerSecond;
    m_rateTokens = std::min<double>(m_claimsPerSecond, m_rateTokens + std::max(0.0, refilled));
    m_rateRefilledAt = now;
    if (m_rateTokens < 1)
        return false;
    m_rateTokens -= 1;
    return true;
}

std::unique_ptr<Store> OrderClaims::acquireStore()
{
    const std::lock_guard lock(m_mutex);
    if (m_idleStores.empty())
        return m_factory.make();
    std::unique_ptr<Store> store = std::move(m_idleStores.back());
    m_idleStores.pop_back();
    return store;
}

void OrderClaims::returnStore(std::unique_ptr<Store> store)
{
    const std::lock_guard lock(m_mutex);
    m_idleStores.push_back(std::move(store));
}

ClaimAttempt OrderClaims::claim(const std::string& team, const std::string& idempotencyKey)
{
    if (!consumeRateToken())
        return ClaimUnavailable {};
    std::string claimant;
    {
        const std::lock_guard lock(m_mutex);
        claimant = m_claimantPrefix + '-' + std::to_string(++m_attempts);
    }
    std::unique_ptr<Store> store = acquireStore();
    ClaimAttempt attempt = claimOrder(*store, team, idempotencyKey, claimant);
    returnStore(std::move(store));
    m_metrics.count(EventCounter::StoreCalls);
    m_metrics.count(std::holds_alternative<HeldClaim>(attempt) ? EventCounter::ClaimsMade : EventCounter::ClaimsRefused);
    return attempt;
}

void OrderClaims::end(HeldClaim claim, RequestOutcome outcome, unsigned status)
{
    if (outcome == RequestOutcome::Unknown)
        return;
    const ClaimState state = outcome == RequestOutcome::Ran ? ClaimState::Ran : ClaimState::NotRun;
    Ending ending { .claim = std::move(claim), .result = { .claimant = {}, .state = state, .status = status } };
    ending.result.claimant = ending.claim.claimant;
    {
        const std::lock_guard lock(m_mutex);
        if (m_endings.size() >= maxEndings)
            m_endings.pop_front();
        m_endings.push_back(std::move(ending));
    }
    m_changed.notify_all();
}

void OrderClaims::writeEndings()
{
    const std::unique_ptr<Store> store = m_factory.make();
    std::unique_lock lock(m_mutex);
    while (!m_stopping || !m_endings.empty()) {
        m_changed.wait(lock, [this] { return m_stopping || !m_endings.empty(); });
        if (m_endings.empty())
            continue;
        const Ending ending = std::move(m_endings.front());
        m_endings.pop_front();
        for (int attempt = 0; attempt < endingAttempts; ++attempt) {
            lock.unlock();
            const bool written = store->put(ending.claim.key, encodeClaim(ending.result), ending.claim.version).has_value();
            // A conflict means that an earlier attempt took effect, since only the holder writes a claim.
            const bool settled = written || store->lastFault() == StoreFault::Conflict;
            m_metrics.count(EventCounter::StoreCalls);
            lock.lock();
            if (settled || (m_stopping && attempt > 0))
                break;
            m_changed.wait_for(lock, endingRetryDelay, [this] { return m_stopping; });
        }
    }
}

} // namespace lanemoor
