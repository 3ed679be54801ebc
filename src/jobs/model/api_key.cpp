#include "lanemoor/jobs/model/api_key.h"

#include <cstring>
#include <sodium.h>

namespace lanemoor::jobs {

namespace {

/// Domain separation: the same text hashed for another purpose has a different digest.
constexpr std::string_view domainSeparator = "lanemoor caller key";
constexpr std::size_t fingerprintBytes = 4; // Two keys have the same fingerprint with a probability of one in four billion.

} // namespace

ApiKeyDigest ApiKeyDigest::of(std::string_view key)
{
    ApiKeyDigest digest;
    crypto_generichash(digest.m_bytes.data(), digest.m_bytes.size(), reinterpret_cast<const unsigned char*>(key.data()), key.size(),
        reinterpret_cast<const unsigned char*>(domainSeparator.data()), domainSeparator.size());
    return digest;
}

std::string ApiKeyDigest::fingerprint() const
{
    std::array<char, fingerprintBytes * 2 + 1> text {};
    sodium_bin2hex(text.data(), text.size(), m_bytes.data(), fingerprintBytes);
    return text.data();
}

std::uint64_t ApiKeyDigest::hash() const noexcept
{
    std::uint64_t number = 0;
    std::memcpy(&number, m_bytes.data(), sizeof(number));
    return number;
}

bool ApiKeyDigest::operator==(const ApiKeyDigest& other) const noexcept
{
    return sodium_memcmp(m_bytes.data(), other.m_bytes.data(), m_bytes.size()) == 0;
}

} // namespace lanemoor::jobs
