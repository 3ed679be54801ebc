#pragma once
/// \file
/// Detects answers of the store that may end before the newest change.

#include "lanemoor/jobs/model/key_value_store.h"

#include <cstddef>
#include <vector>

namespace lanemoor::jobs {

/// The store truncates an answer at some 500 changes or one megabyte, and reports neither that it did nor the exact limits.
/// An answer below both of these bounds is complete.
constexpr std::size_t minPartialBatchChanges = 100;
constexpr std::size_t minPartialBatchBytes = 128 * 1024;

/// \returns Bytes of the keys and values of `items`.
[[nodiscard]] inline std::size_t bytesOf(const std::vector<StoreItem>& items)
{
    std::size_t bytes = 0;
    for (const StoreItem& item : items)
        bytes += item.key.size() + item.value.size();
    return bytes;
}

/// \returns Whether the answer to a watch may lack later changes. A complete answer carries the store's newest revision, which
/// usually belongs to another key. An answer whose last change is at the revision it carries may have been truncated there.
[[nodiscard]] inline bool mayBePartialBatch(const ItemsResult& result)
{
    if (result.items.empty() || result.items.back().revision < result.storeRevision)
        return false;
    return result.items.size() >= minPartialBatchChanges || bytesOf(result.items) >= minPartialBatchBytes;
}

} // namespace lanemoor::jobs
