#pragma once
/// \file
/// Digests of callers' API keys; the keys themselves are not stored.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

/// \brief The digest of a caller's key. The key itself is not retained, so configurations can't leak it through logs, metrics, error
/// texts or core dumps.
///
/// \code
/// const ApiKeyDigest digest = ApiKeyDigest::of("a-callers-key");
/// log.decision("caller-refused", { { "key", digest.fingerprint() } });
/// \endcode
class ApiKeyDigest {
public:
    /// \returns The digest of `key`: BLAKE2b, 32 bytes, the same in every process.
    [[nodiscard]] static ApiKeyDigest of(std::string_view key);

    /// \returns Eight hexadecimal digits that distinguish keys in logs without revealing them.
    [[nodiscard]] std::string fingerprint() const;

    /// \returns A hash value for hash tables.
    [[nodiscard]] std::uint64_t hash() const noexcept;

    /// \returns Whether both are digests of the same key; compares in constant time.
    [[nodiscard]] bool operator==(const ApiKeyDigest& other) const noexcept;

private:
    static constexpr std::size_t length = 32; // Bytes; the default of BLAKE2b.

    std::array<unsigned char, length> m_bytes {};
};

} // namespace lanemoor::jobs
