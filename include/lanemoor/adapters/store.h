#pragma once
/// \file
/// The platform's key-value service.

#include "lanemoor/decisions/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// Why a call to the store did not give what was asked.
enum class StoreFault {
    Unreachable, ///< No connection: a write did not take effect.
    NoAnswer, ///< No whole answer came: a write may have taken effect.
    NotFound,
    Conflict, ///< The version is another one, or the lease is another's.
    TooLarge, ///< Over the size of a value.
    Refused, ///< The store answered with another error.
};

/// \returns A short English text for `fault`.
[[nodiscard]] std::string_view describe(StoreFault fault) noexcept;

/// A value with its version. Versions of a key grow with each write.
struct StoredValue {
    std::uint64_t version = 0;
    std::string body;

    [[nodiscard]] bool operator==(const StoredValue&) const = default;
};

/// A lease that is held.
struct Lease {
    std::uint64_t epoch = 0; ///< Grows with each new holder.
    Instant expiresAt; ///< By this process's clock, counted from before the call was sent.

    [[nodiscard]] bool operator==(const Lease&) const = default;
};

/// \brief The store as lanemoor needs it. An object serves one thread.
///
/// Calls that don't succeed return nothing; `lastFault()` then says why.
class Store {
public:
    virtual ~Store() = default;

    /// \returns The newest value of `key`.
    [[nodiscard]] virtual std::optional<StoredValue> get(const std::string& key) = 0;

    /// \brief Waits for a version of `key` above `after`.
    /// \returns The newest value; nothing with fault NotFound if none came in `wait`.
    [[nodiscard]] virtual std::optional<StoredValue> watch(const std::string& key, std::uint64_t after, Millis wait) = 0;

    /// \brief Writes `body` if the version of `key` is `expected` (0: the key must not exist).
    /// \returns The new version.
    [[nodiscard]] virtual std::optional<std::uint64_t> put(const std::string& key, const std::string& body, std::uint64_t expected) = 0;

    /// \brief Takes or renews the lease `name`.
    [[nodiscard]] virtual std::optional<Lease> acquire(const std::string& name, const std::string& holder, Millis time) = 0;

    /// \brief Gives the lease back; a failure is of no concern, since leases lapse.
    virtual void release(const std::string& name, const std::string& holder) = 0;

    [[nodiscard]] virtual StoreFault lastFault() const noexcept = 0;
};

/// \brief Makes stores; each thread takes its own.
class StoreFactory {
public:
    virtual ~StoreFactory() = default;
    [[nodiscard]] virtual std::unique_ptr<Store> make() const = 0;
};

} // namespace lanemoor
