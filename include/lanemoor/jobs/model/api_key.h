#pragma once
/// \file
/// Callers' keys, kept as digests only.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

/// \brief The digest of a caller's key. The key itself is nowhere kept, so that no log, metric,
/// error text or core file of configurations holds one.
///
/// \code
/// const ApiKeyDigest digest = ApiKeyDigest::of("a-callers-key");
/// log.decision("caller-refused", { { "key", digest.fingerprint() } });
/// \endcode
class ApiKeyDigest {
public:
    /// \returns The digest of `key`: BLAKE2b, 32 bytes, the same in every process.
    [[nodiscard]] static ApiKeyDigest of(std::string_view key);

    /// \returns Eight hexadecimal digits that tell keys apart in logs and tell nobody the key.
    [[nodiscard]] std::string fingerprint() const;

    /// \returns A number for hash tables.
    [[nodiscard]] std::uint64_t hash() const noexcept;

    /// \returns Whether both are of one key; takes the same time wherever they differ.
    [[nodiscard]] bool operator==(const ApiKeyDigest& other) const noexcept;

private:
    static constexpr std::size_t length = 32; // Bytes; BLAKE2b's usual one.

    std::array<unsigned char, length> m_bytes {};
};

} // namespace lanemoor::jobs
