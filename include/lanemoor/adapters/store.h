#pragma once
/// \file
/// Interface to the platform's key-value store.

#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// Why a call to the store failed.
enum class StoreFault {
    Unreachable, ///< No connection; a write did not take effect.
    NoAnswer, ///< No complete answer; a write may have taken effect.
    NotFound,
    Conflict, ///< The key has another version, or the lease has another holder.
    TooLarge, ///< The value exceeds the store's size limit.
    Refused, ///< The store returned another error.
};

/// \returns A short English text for `fault`.
[[nodiscard]] std::string_view describe(StoreFault fault) noexcept;

/// A value with its version. A key's version grows with each write.
struct StoredValue {
    std::uint64_t version = 0;
    std::string body;

    [[nodiscard]] bool operator==(const StoredValue&) const = default;
};

/// A held lease.
struct Lease {
    std::uint64_t epoch = 0; ///< Grows with each new holder.
    Instant expiresAt; ///< By the local clock, counted from the time before the call was sent.

    [[nodiscard]] bool operator==(const Lease&) const = default;
};

/// \brief Client of the store. Not thread-safe; each thread uses its own object.
///
/// A failed call returns nothing and sets `lastFault()`.
class Store {
public:
    virtual ~Store() = default;

    /// \returns The latest value of `key`.
    [[nodiscard]] virtual std::optional<StoredValue> get(const std::string& key) = 0;

    /// \brief Waits up to `wait` for a version of `key` greater than `after`.
    /// \returns The latest value; nothing with fault NotFound if no newer version appeared.
    [[nodiscard]] virtual std::optional<StoredValue> watch(const std::string& key, std::uint64_t after, Millis wait) = 0;

    /// \brief Writes `body` if `key` has version `expected` (0: the key must not exist).
    /// \returns The new version.
    [[nodiscard]] virtual std::optional<std::uint64_t> put(const std::string& key, const std::string& body, std::uint64_t expected) = 0;

    /// \brief Acquires or renews the lease `name` for `time`.
    [[nodiscard]] virtual std::optional<Lease> acquire(const std::string& name, const std::string& holder, Millis time) = 0;

    /// \brief Releases the lease. Failures are ignored because leases expire.
    virtual void release(const std::string& name, const std::string& holder) = 0;

    [[nodiscard]] virtual StoreFault lastFault() const noexcept = 0;
};

/// \brief Creates store clients, one for each thread.
class StoreFactory {
public:
    virtual ~StoreFactory() = default;
    [[nodiscard]] virtual std::unique_ptr<Store> make() const = 0;
};

} // namespace lanemoor
