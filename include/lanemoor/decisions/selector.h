#pragma once
/// \file
/// Label selectors, which define the instances that a pool may have.

#include "lanemoor/decisions/labels.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// Why a selector could not be parsed.
enum class SelectorFaultCode {
    ExpectedKey,
    ExpectedOperator,
    ExpectedValue,
    ExpectedOpeningParenthesis,
    UnterminatedSet,
    ExpectedComma,
};

/// A parse error and its position in the selector's text.
struct SelectorFault {
    SelectorFaultCode code = SelectorFaultCode::ExpectedKey;
    std::size_t column = 1; ///< 1-based, in bytes.

    [[nodiscard]] bool operator==(const SelectorFault&) const = default;
};

/// \returns A short English text for `code`.
[[nodiscard]] std::string_view describe(SelectorFaultCode code) noexcept;

/// How one requirement compares a label.
enum class SelectorOperator {
    In, ///< `key=value`, `key==value`, `key in (a,b)`
    NotIn, ///< `key!=value`, `key notin (a,b)`; also holds if the key is absent
    Exists, ///< `key`
    NotExists, ///< `!key`
};

/// One requirement of a selector.
struct SelectorRequirement {
    std::string key;
    SelectorOperator op = SelectorOperator::Exists;
    std::vector<std::string> values;

    [[nodiscard]] bool matches(const LabelSet& labels) const noexcept;
    [[nodiscard]] bool operator==(const SelectorRequirement&) const = default;
};

/// \brief An immutable conjunction of requirements on labels.
///
/// Uses the selector syntax that operators know from other fleet managers: equality, set and
/// existence requirements separated by commas. The empty selector matches everything.
///
/// \code
/// SelectorParser parser;
/// auto selector = parser.parse("service=counter, tier in (gold, silver), !broken");
/// \endcode
class Selector {
public:
    Selector() = default;

    Selector(std::string text, std::vector<SelectorRequirement> requirements);

    /// \returns Whether every requirement holds for `labels`.
    [[nodiscard]] bool matches(const LabelSet& labels) const noexcept;

    /// \returns The text this selector was parsed from.
    [[nodiscard]] const std::string& text() const noexcept { return m_text; }

    [[nodiscard]] bool operator==(const Selector&) const = default;

private:
    std::string m_text;
    std::vector<SelectorRequirement> m_requirements;
};

/// \brief Parses selectors and keeps the last parse error.
class SelectorParser {
public:
    /// \returns The selector, or nothing; `lastFault()` then has the error.
    [[nodiscard]] std::optional<Selector> parse(std::string_view text);

    /// \returns The error of the last `parse`, or nothing if it succeeded.
    [[nodiscard]] const std::optional<SelectorFault>& lastFault() const noexcept { return m_lastFault; }

private:
    std::optional<SelectorFault> m_lastFault;
};

} // namespace lanemoor
