#pragma once
/// \file
/// Labels of an instance.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// One label: a key and its value.
struct Label {
    std::string key;
    std::string value;

    [[nodiscard]] bool operator==(const Label&) const = default;
    [[nodiscard]] auto operator<=>(const Label&) const = default;
};

/// \brief An immutable set of labels with unique keys, ordered by key.
///
/// \code
/// LabelSet labels({ { "service", "counter" }, { "tier", "gold" } });
/// labels.find("tier"); // "gold"
/// \endcode
/// \see Selector
class LabelSet {
public:
    LabelSet() = default;

    /// \param labels In any order. The last label of a key replaces earlier ones.
    explicit LabelSet(std::vector<Label> labels);

    /// \returns The value under `key`, or nothing.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view key) const noexcept;

    /// \returns All labels, ordered by key.
    [[nodiscard]] const std::vector<Label>& all() const noexcept { return m_labels; }

    [[nodiscard]] bool operator==(const LabelSet&) const = default;

private:
    std::vector<Label> m_labels;
};

} // namespace lanemoor
