#pragma once
/// \file
/// Answers of the store that may end before the newest change.

#include "lanemoor/jobs/model/key_value_store.h"

#include <cstddef>
#include <vector>

namespace lanemoor::jobs {

/// The store cuts an answer at some 500 changes or one megabyte, and says neither that it did nor exactly where. An answer
/// below these is whole.
constexpr std::size_t changesOfAnswerPart = 100;
constexpr std::size_t bytesOfAnswerPart = 128 * 1024;

/// \returns Bytes of the keys and values of `items`.
[[nodiscard]] inline std::size_t bytesOf(const std::vector<StoreItem>& items)
{
    std::size_t bytes = 0;
    for (const StoreItem& item : items)
        bytes += item.key.size() + item.value.size();
    return bytes;
}

/// \returns Whether the answer of a watch may lack later changes. A whole answer names the store's newest revision, which is
/// usually another key's. One that ends with the revision where the watch goes on may have been cut there.
[[nodiscard]] inline bool mayBeAnswerPart(const ItemsResult& result)
{
    if (result.items.empty() || result.items.back().revision < result.storeRevision)
        return false;
    return result.items.size() >= changesOfAnswerPart || bytesOf(result.items) >= bytesOfAnswerPart;
}

} // namespace lanemoor::jobs
