#include "lanemoor/decisions/labels.h"

#include <algorithm>

namespace lanemoor {

LabelSet::LabelSet(std::vector<Label> labels)
    : m_labels(std::move(labels))
{
    std::stable_sort(m_labels.begin(), m_labels.end(), [](const Label& a, const Label& b) { return a.key < b.key; });
    const auto sameKey = [](const Label& a, const Label& b) { return a.key == b.key; };
    // unique() keeps the first of equal elements; reverse iterators make it keep the last label of a key.
    const auto kept = std::unique(m_labels.rbegin(), m_labels.rend(), sameKey);
    m_labels.erase(m_labels.begin(), kept.base());
}

std::optional<std::string_view> LabelSet::find(std::string_view key) const noexcept
{
    const auto before = [](const Label& label, std::string_view wanted) { return label.key < wanted; };
    const auto found = std::lower_bound(m_labels.begin(), m_labels.end(), key, before);
    if (found == m_labels.end() || found->key != key)
        return std::nullopt;
    return found->value;
}

} // namespace lanemoor
