#include "lanemoor/decisions/ledger.h"

#include <algorithm>
#include <utility>

namespace lanemoor {

const LedgerEntry* Ledger::find(std::string_view instance) const noexcept
{
    const auto before = [](const LedgerEntry& entry, std::string_view wanted) { return entry.instance < wanted; };
    const auto found = std::lower_bound(entries.begin(), entries.end(), instance, before);
    if (found == entries.end() || found->instance != instance)
        return nullptr;
    return &*found;
}

LedgerEntry* Ledger::find(std::string_view instance) noexcept
{
    return const_cast<LedgerEntry*>(std::as_const(*this).find(instance));
}

} // namespace lanemoor
