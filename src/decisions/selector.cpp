#include "lanemoor/decisions/selector.h"

#include <algorithm>
#include <utility>

namespace lanemoor {

namespace {

bool isWordByte(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '/';
}

/// Reads tokens from a selector's text.
class Cursor {
public:
    explicit Cursor(std::string_view text) noexcept
        : m_text(text)
    {
    }

    [[nodiscard]] bool atEnd() noexcept
    {
        skipBlanks();
        return m_at == m_text.size();
    }

    [[nodiscard]] bool consume(std::string_view token) noexcept
    {
        skipBlanks();
        if (m_text.substr(m_at, token.size()) != token)
            return false;
        m_at += token.size();
        return true;
    }

    [[nodiscard]] std::string_view consumeWord() noexcept
    {
        skipBlanks();
        const std::size_t begin = m_at;
        while (m_at < m_text.size() && isWordByte(m_text[m_at]))
            ++m_at;
        return m_text.substr(begin, m_at - begin);
    }

    [[nodiscard]] SelectorFault fault(SelectorFaultCode code) const noexcept
    {
        return { .code = code, .column = m_at + 1 };
    }

private:
    void skipBlanks() noexcept
    {
        while (m_at < m_text.size() && (m_text[m_at] == ' ' || m_text[m_at] == '\t'))
            ++m_at;
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

std::optional<SelectorFault> parseSet(Cursor& cursor, SelectorRequirement& requirement)
{
    if (!cursor.consume("("))
        return cursor.fault(SelectorFaultCode::ExpectedOpeningParenthesis);
    do {
        const std::string_view value = cursor.consumeWord();
        if (value.empty())
            return cursor.fault(SelectorFaultCode::ExpectedValue);
        requirement.values.emplace_back(value);
    } while (cursor.consume(","));
    if (!cursor.consume(")"))
        return cursor.fault(SelectorFaultCode::UnterminatedSet);
    return std::nullopt;
}

std::optional<SelectorFault> parseSingleValue(Cursor& cursor, SelectorRequirement& requirement)
{
    const std::string_view value = cursor.consumeWord();
    if (value.empty())
        return cursor.fault(SelectorFaultCode::ExpectedValue);
    requirement.values.emplace_back(value);
    return std::nullopt;
}

std::optional<SelectorFault> parseWordOperator(Cursor& cursor, SelectorRequirement& requirement)
{
    const SelectorFault here = cursor.fault(SelectorFaultCode::ExpectedOperator);
    const std::string_view word = cursor.consumeWord();
    if (word.empty())
        return std::nullopt;
    if (word != "in" && word != "notin")
        return here;
    requirement.op = word == "in" ? SelectorOperator::In : SelectorOperator::NotIn;
    return parseSet(cursor, requirement);
}

std::optional<SelectorFault> parseRequirement(Cursor& cursor, SelectorRequirement& requirement)
{
    const bool negated = cursor.consume("!");
    requirement.key = std::string(cursor.consumeWord());
    if (requirement.key.empty())
        return cursor.fault(SelectorFaultCode::ExpectedKey);
    if (negated) {
        requirement.op = SelectorOperator::NotExists;
        return std::nullopt;
    }
    if (cursor.consume("!=")) {
        requirement.op = SelectorOperator::NotIn;
        return parseSingleValue(cursor, requirement);
    }
    if (cursor.consume("==") || cursor.consume("=")) {
        requirement.op = SelectorOperator::In;
        return parseSingleValue(cursor, requirement);
    }
    return parseWordOperator(cursor, requirement);
}

} // namespace

std::string_view describe(SelectorFaultCode code) noexcept
{
    switch (code) {
    case SelectorFaultCode::ExpectedKey:
        return "a label key is expected";
    case SelectorFaultCode::ExpectedOperator:
        return "one of =, ==, !=, in, notin or a comma is expected";
    case SelectorFaultCode::ExpectedValue:
        return "a value is expected";
    case SelectorFaultCode::ExpectedOpeningParenthesis:
        return "( is expected";
    case SelectorFaultCode::UnterminatedSet:
        return "a comma or ) is expected";
    case SelectorFaultCode::ExpectedComma:
        return "a comma is expected between requirements";
    }
    return "unknown fault";
}

bool SelectorRequirement::matches(const LabelSet& labels) const noexcept
{
    const std::optional<std::string_view> value = labels.find(key);
    const bool listed = value && std::find(values.begin(), values.end(), *value) != values.end();
    switch (op) {
    case SelectorOperator::In:
        return listed;
    case SelectorOperator::NotIn:
        return !listed;
    case SelectorOperator::Exists:
        return value.has_value();
    case SelectorOperator::NotExists:
        return !value.has_value();
    }
    return false;
}

Selector::Selector(std::string text, std::vector<SelectorRequirement> requirements)
    : m_text(std::move(text))
    , m_requirements(std::move(requirements))
{
}

bool Selector::matches(const LabelSet& labels) const noexcept
{
    return std::all_of(m_requirements.begin(), m_requirements.end(), [&](const SelectorRequirement& requirement) { return requirement.matches(labels); });
}

std::optional<Selector> SelectorParser::parse(std::string_view text)
{
    m_lastFault.reset();
    Cursor cursor(text);
    std::vector<SelectorRequirement> requirements;
    bool separated = true;
    while (!cursor.atEnd()) {
        if (!separated) {
            m_lastFault = cursor.fault(SelectorFaultCode::ExpectedComma);
            return std::nullopt;
        }
        SelectorRequirement requirement;
        m_lastFault = parseRequirement(cursor, requirement);
        if (m_lastFault)
            return std::nullopt;
        requirements.push_back(std::move(requirement));
        separated = cursor.consume(",");
    }
    if (separated && !requirements.empty()) {
        m_lastFault = cursor.fault(SelectorFaultCode::ExpectedKey);
        return std::nullopt;
    }
    return Selector(std::string(text), std::move(requirements));
}

} // namespace lanemoor
