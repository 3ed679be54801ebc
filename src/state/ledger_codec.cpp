#include "lanemoor/state/ledger_codec.h"

#include "generated/lanemoor.pb.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace lanemoor {

namespace {

constexpr std::uint32_t lastReason = static_cast<std::uint32_t>(GrantReason::Quarantine);
constexpr std::uint32_t lastPhase = static_cast<std::uint32_t>(GrantPhase::Held);

std::int64_t toMillis(Instant instant) noexcept
{
    return instant.time_since_epoch().count();
}

Instant toInstant(std::int64_t milliseconds) noexcept
{
    return Instant(Millis(milliseconds));
}

/// Numbers pool names; number 0 is the spare set.
class PoolNumbers {
public:
    explicit PoolNumbers(wire::LedgerDocument& document)
        : m_document(document)
    {
    }

    std::uint32_t of(const std::string& pool)
    {
        if (pool.empty())
            return 0;
        const auto [known, added] = m_numbers.emplace(pool, m_numbers.size() + 1);
        if (added)
            m_document.add_pools(pool);
        return static_cast<std::uint32_t>(known->second);
    }

private:
    wire::LedgerDocument& m_document;
    std::unordered_map<std::string, std::size_t> m_numbers;
};

void encodeGrant(const Grant& grant, wire::Grant& message)
{
    message.set_id(grant.id);
    message.set_epoch(grant.epoch);
    message.set_reason(static_cast<std::uint32_t>(grant.reason));
    message.set_phase(static_cast<std::uint32_t>(grant.phase));
    message.set_boot_id_before(grant.bootIdBefore);
    message.set_deadline_ms(toMillis(grant.deadline));
}

std::optional<Grant> decodeGrant(const wire::Grant& message)
{
    if (message.reason() > lastReason || message.phase() > lastPhase)
        return std::nullopt;
    return Grant {
        .id = message.id(),
        .epoch = message.epoch(),
        .reason = static_cast<GrantReason>(message.reason()),
        .phase = static_cast<GrantPhase>(message.phase()),
        .bootIdBefore = message.boot_id_before(),
        .deadline = toInstant(message.deadline_ms()),
    };
}

std::optional<LedgerEntry> decodeEntry(const wire::LedgerDocument& document, const wire::LedgerEntry& message)
{
    if (message.pool() > static_cast<std::uint32_t>(document.pools_size()) || message.instance().empty())
        return std::nullopt;
    LedgerEntry entry { .instance = message.instance(), .pool = {}, .maintainedAt = toInstant(message.maintained_at_ms()), .grant = std::nullopt };
    if (message.pool() > 0)
        entry.pool = document.pools(static_cast<int>(message.pool()) - 1);
    if (!message.has_grant())
        return entry;
    entry.grant = decodeGrant(message.grant());
    if (!entry.grant)
        return std::nullopt;
    return entry;
}

} // namespace

std::string encodeLedger(const Ledger& ledger)
{
    wire::LedgerDocument document;
    document.set_epoch(ledger.epoch);
    document.set_next_grant(ledger.nextGrant);
    PoolNumbers numbers(document);
    for (const LedgerEntry& entry : ledger.entries) {
        wire::LedgerEntry& message = *document.add_entries();
        message.set_instance(entry.instance);
        message.set_pool(numbers.of(entry.pool));
        message.set_maintained_at_ms(toMillis(entry.maintainedAt));
        if (entry.grant)
            encodeGrant(*entry.grant, *message.mutable_grant());
    }
    return document.SerializeAsString();
}

std::optional<Ledger> decodeLedger(std::string_view bytes, std::uint64_t version)
{
    wire::LedgerDocument document;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max()) || !document.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    Ledger ledger { .version = version, .epoch = document.epoch(), .nextGrant = document.next_grant() };
    for (const wire::LedgerEntry& message : document.entries()) {
        std::optional<LedgerEntry> entry = decodeEntry(document, message);
        if (!entry)
            return std::nullopt;
        ledger.entries.push_back(std::move(*entry));
    }
    const auto notAscending = [](const LedgerEntry& a, const LedgerEntry& b) { return a.instance >= b.instance; };
    if (std::adjacent_find(ledger.entries.begin(), ledger.entries.end(), notAscending) != ledger.entries.end())
        return std::nullopt; // Entries must be ordered, and an instance has only one.
    return ledger;
}

} // namespace lanemoor
