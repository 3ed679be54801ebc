#pragma once
/// \file
/// JSON documents with source positions, and readers that report all faults.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// A position in a text, 1-based; columns count bytes.
struct SourcePosition {
    std::size_t line = 1;
    std::size_t column = 1;

    [[nodiscard]] bool operator==(const SourcePosition&) const = default;
};

/// The kind of a fault in a document.
enum class DocumentFaultCode {
    Syntax,
    DuplicateField,
    UnknownField,
    MissingField,
    WrongType,
    OutOfRange,
    BadValue,
    BadSelector,
    DuplicateName,
    InsecureAddress,
};

/// \returns A short English text for `code`.
[[nodiscard]] std::string_view describe(DocumentFaultCode code) noexcept;

/// One fault and its position.
struct DocumentFault {
    DocumentFaultCode code = DocumentFaultCode::Syntax;
    std::string field; ///< JSON pointer, for example `/pools/0/budget/minimum`.
    SourcePosition position;
    std::string detail; ///< The found or expected value.

    [[nodiscard]] bool operator==(const DocumentFault&) const = default;
};

/// \returns `file:line:column: field: text (detail)`, the format of compiler diagnostics.
[[nodiscard]] std::string formatFault(std::string_view file, const DocumentFault& fault);

/// \brief A parsed JSON text with the position of each value.
///
/// \code
/// JsonDocument document;
/// if (!document.parse(text))
///     report(document.faults());
/// \endcode
class JsonDocument {
public:
    /// \returns Whether `text` is valid JSON without duplicate fields; if not, `faults()` has the reasons.
    [[nodiscard]] bool parse(std::string_view text);

    [[nodiscard]] const nlohmann::json& root() const noexcept { return m_root; }

    /// \returns The position of the value at JSON pointer `field`, or of its closest existing ancestor.
    [[nodiscard]] SourcePosition positionOf(std::string_view field) const;

    /// \brief Records a fault of the value at JSON pointer `field`.
    void addFault(DocumentFaultCode code, const std::string& field, std::string detail);

    [[nodiscard]] const std::vector<DocumentFault>& faults() const noexcept { return m_faults; }

private:
    nlohmann::json m_root;
    std::string m_text;
    std::map<std::string, std::size_t, std::less<>> m_offsets; ///< Of each value in the text, by JSON pointer.
    std::vector<DocumentFault> m_faults;
};

/// \brief Reads one object of a document field by field and records every fault.
///
/// `finish` records an UnknownField fault for each field that was not requested.
class ObjectReader {
public:
    /// \param field JSON pointer of the object; empty for the root.
    ObjectReader(JsonDocument& document, const nlohmann::json& value, std::string field);

    /// \name Fields
    /// Each function records a fault and returns nothing if the field is present but invalid.
    /// An absent field is a fault only if it is required.
    ///@{
    [[nodiscard]] std::optional<std::string> string(const char* name, bool required = false);
    [[nodiscard]] std::optional<std::int64_t> integer(const char* name, std::int64_t minValue, std::int64_t maxValue, bool required = false);
    [[nodiscard]] std::optional<double> number(const char* name, double minValue, double maxValue);
    [[nodiscard]] std::optional<bool> boolean(const char* name);
    [[nodiscard]] std::vector<std::string> strings(const char* name);
    void object(const char* name, const std::function<void(ObjectReader&)>& read, bool required = false);
    void objects(const char* name, const std::function<void(ObjectReader&)>& read);
    ///@}

    /// \brief Records a fault of field `name`, or of the object itself if `name` is empty.
    void fault(DocumentFaultCode code, const char* name, std::string detail);

    /// \brief Records an UnknownField fault for each field that was not requested.
    void finish();

private:
    [[nodiscard]] const nlohmann::json* findField(const char* name, bool required);
    [[nodiscard]] std::string pointerTo(const std::string& name) const;

    JsonDocument& m_document;
    const nlohmann::json& m_value;
    std::string m_field;
    std::vector<std::string> m_requestedFields;
};

} // namespace lanemoor
