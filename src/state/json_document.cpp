#include "lanemoor/state/json_document.h"

#include "lanemoor/state/json_bounds.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace lanemoor {

namespace {

/// Documents with deeper nesting are refused.
constexpr std::size_t maxNestingDepth = 32;
/// Documents with more values are refused: with its position, a small value takes some 200 bytes.
constexpr std::size_t maxValues = 50'000;
/// Reading ends after so many faults.
constexpr std::size_t maxFaults = 100;

/// Iterator that counts the bytes read, so that a SAX handler can derive positions.
class CountingIterator {
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    CountingIterator(const char* at, std::size_t* offset) noexcept
        : m_at(at)
        , m_offset(offset)
    {
    }

    [[nodiscard]] reference operator*() const noexcept { return *m_at; }

    CountingIterator& operator++() noexcept
    {
        ++m_at;
        ++*m_offset;
        return *this;
    }

    CountingIterator operator++(int) noexcept
    {
        CountingIterator before = *this;
        ++*this;
        return before;
    }

    [[nodiscard]] bool operator==(const CountingIterator& other) const noexcept { return m_at == other.m_at; }

private:
    const char* m_at;
    std::size_t* m_offset;
};

SourcePosition positionAt(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const auto lines = static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n'));
    const std::size_t lastBreak = before.rfind('\n');
    const std::size_t column = lastBreak == std::string_view::npos ? before.size() + 1 : before.size() - lastBreak;
    return { .line = lines + 1, .column = column };
}

std::string escapePointer(const std::string& name)
{
    std::string escaped;
    for (const char c : name) {
        if (c == '~')
            escaped += "~0";
        else if (c == '/')
            escaped += "~1";
        else
            escaped += c;
    }
    return escaped;
}

/// SAX handler that records the position of each value.
class PositionHandler : public nlohmann::json_sax<nlohmann::json> {
public:
    PositionHandler(std::string_view text, const std::size_t& offset, std::map<std::string, std::size_t, std::less<>>& offsets, std::vector<DocumentFault>& faults)
        : m_text(text)
        , m_offset(offset)
        , m_offsets(offsets)
        , m_faults(faults)
    {
    }

    bool null() override { return recordScalar(); }
    bool boolean(bool) override { return recordScalar(); }
    bool number_integer(number_integer_t) override { return recordScalar(); }
    bool number_unsigned(number_unsigned_t) override { return recordScalar(); }
    bool number_float(number_float_t, const string_t&) override { return recordScalar(); }
    bool string(string_t&) override { return recordScalar(); }
    bool binary(binary_t&) override { return recordScalar(); }
    bool start_object(std::size_t) override { return openContainer(false); }
    bool start_array(std::size_t) override { return openContainer(true); }
    bool end_object() override { return closeContainer(); }
    bool end_array() override { return closeContainer(); }

    bool key(string_t& name) override
    {
        Level& level = m_levels.back();
        level.name = name;
        if (!level.seen.insert(name).second)
            m_faults.push_back({ .code = DocumentFaultCode::DuplicateField, .field = currentPointer(), .position = positionAt(m_text, tokenStart()), .detail = {} });
        m_tokenEnd = m_offset;
        return m_faults.size() < maxFaults;
    }

    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception& error) override
    {
        m_faults.push_back({ .code = DocumentFaultCode::Syntax, .field = {}, .position = currentPosition(), .detail = error.what() });
        return false;
    }

private:
    struct Level {
        bool isArray = false;
        std::size_t index = 0;
        std::string name;
        std::set<std::string> seen;
    };

    [[nodiscard]] SourcePosition currentPosition() const { return positionAt(m_text, m_offset == 0 ? 0 : m_offset - 1); }

    /// The parser reads at most one byte past a token, which never belongs to the next token.
    [[nodiscard]] std::size_t tokenStart() const
    {
        const std::size_t start = m_text.find_first_not_of(" \t\r\n,:]}", m_tokenEnd);
        return std::min(start, m_text.size());
    }

    [[nodiscard]] std::string currentPointer() const
    {
        std::string pointer;
        for (const Level& level : m_levels)
            pointer += '/' + (level.isArray ? std::to_string(level.index) : escapePointer(level.name));
        return pointer;
    }

    bool recordScalar()
    {
        m_offsets.emplace(currentPointer(), tokenStart());
        m_tokenEnd = m_offset;
        advanceIndex();
        return true;
    }

    bool openContainer(bool isArray)
    {
        m_offsets.emplace(currentPointer(), tokenStart());
        m_tokenEnd = m_offset;
        if (m_levels.size() == maxNestingDepth) {
            m_faults.push_back({ .code = DocumentFaultCode::Syntax, .field = currentPointer(), .position = currentPosition(), .detail = "nested too deeply" });
            return false;
        }
        m_levels.push_back({ .isArray = isArray });
        return true;
    }

    bool closeContainer()
    {
        m_tokenEnd = m_offset;
        m_levels.pop_back();
        advanceIndex();
        return true;
    }

    void advanceIndex()
    {
        if (!m_levels.empty())
            ++m_levels.back().index;
    }

    std::string_view m_text;
    const std::size_t& m_offset;
    std::size_t m_tokenEnd = 0;
    std::map<std::string, std::size_t, std::less<>>& m_offsets;
    std::vector<DocumentFault>& m_faults;
    std::vector<Level> m_levels;
};

} // namespace

std::string_view describe(DocumentFaultCode code) noexcept
{
    switch (code) {
    case DocumentFaultCode::Syntax:
        return "not valid JSON";
    case DocumentFaultCode::DuplicateField:
        return "field given twice";
    case DocumentFaultCode::UnknownField:
        return "unknown field";
    case DocumentFaultCode::MissingField:
        return "required field missing";
    case DocumentFaultCode::WrongType:
        return "wrong type";
    case DocumentFaultCode::OutOfRange:
        return "out of range";
    case DocumentFaultCode::BadValue:
        return "value not understood";
    case DocumentFaultCode::BadSelector:
        return "selector not understood";
    case DocumentFaultCode::DuplicateName:
        return "name given twice";
    case DocumentFaultCode::InsecureAddress:
        return "an address beyond loopback needs a key";
    }
    return "unknown fault";
}

std::string formatFault(std::string_view file, const DocumentFault& fault)
{
    std::string text(file);
    text += ':' + std::to_string(fault.position.line) + ':' + std::to_string(fault.position.column) + ": ";
    text += fault.field.empty() ? "/" : fault.field;
    text += ": ";
    text += describe(fault.code);
    if (!fault.detail.empty())
        text += " (" + fault.detail + ")";
    return text;
}

bool JsonDocument::parse(std::string_view text)
{
    m_text = text;
    m_offsets.clear();
    m_faults.clear();
    if (hasMoreValues(text, maxValues)) {
        m_faults.push_back({ .code = DocumentFaultCode::Syntax, .field = {}, .position = positionAt(text, 0), .detail = "too many values" });
        return false;
    }
    std::size_t offset = 0;
    PositionHandler handler(text, offset, m_offsets, m_faults);
    const CountingIterator begin(text.data(), &offset);
    const CountingIterator end(text.data() + text.size(), &offset);
    if (!nlohmann::json::sax_parse(begin, end, &handler) || !m_faults.empty())
        return false;
    m_root = nlohmann::json::parse(text);
    return true;
}

SourcePosition JsonDocument::positionOf(std::string_view field) const
{
    while (true) {
        const auto found = m_offsets.find(field);
        if (found != m_offsets.end())
            return positionAt(m_text, found->second);
        if (field.empty())
            return {};
        field = field.substr(0, field.rfind('/'));
    }
}

void JsonDocument::addFault(DocumentFaultCode code, const std::string& field, std::string detail)
{
    m_faults.push_back({ .code = code, .field = field, .position = positionOf(field), .detail = std::move(detail) });
}

ObjectReader::ObjectReader(JsonDocument& document, const nlohmann::json& value, std::string field)
    : m_document(document)
    , m_value(value)
    , m_field(std::move(field))
{
    if (!m_value.is_object())
        m_document.addFault(DocumentFaultCode::WrongType, m_field, "an object is expected");
}

std::string ObjectReader::pointerTo(const std::string& name) const
{
    return name.empty() ? m_field : m_field + '/' + escapePointer(name);
}

const nlohmann::json* ObjectReader::findField(const char* name, bool required)
{
    m_requestedFields.emplace_back(name);
    if (!m_value.is_object())
        return nullptr;
    const auto found = m_value.find(name);
    if (found != m_value.end())
        return &*found;
    if (required)
        m_document.addFault(DocumentFaultCode::MissingField, pointerTo(name), name);
    return nullptr;
}

std::optional<std::string> ObjectReader::string(const char* name, bool required)
{
    const nlohmann::json* value = findField(name, required);
    if (!value)
        return std::nullopt;
    if (value->is_string())
        return value->get<std::string>();
    fault(DocumentFaultCode::WrongType, name, "a string is expected");
    return std::nullopt;
}

std::optional<std::int64_t> ObjectReader::integer(const char* name, std::int64_t minValue, std::int64_t maxValue, bool required)
{
    const nlohmann::json* value = findField(name, required);
    if (!value)
        return std::nullopt;
    if (!value->is_number_integer()) {
        fault(DocumentFaultCode::WrongType, name, "a whole number is expected");
        return std::nullopt;
    }
    const bool exceedsMaximum = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(maxValue);
    if (exceedsMaximum || value->get<std::int64_t>() < minValue || value->get<std::int64_t>() > maxValue) {
        fault(DocumentFaultCode::OutOfRange, name, std::to_string(minValue) + " to " + std::to_string(maxValue));
        return std::nullopt;
    }
    return value->get<std::int64_t>();
}

std::optional<double> ObjectReader::number(const char* name, double minValue, double maxValue)
{
    const nlohmann::json* value = findField(name, false);
    if (!value)
        return std::nullopt;
    if (!value->is_number()) {
        fault(DocumentFaultCode::WrongType, name, "a number is expected");
        return std::nullopt;
    }
    const auto number = value->get<double>();
    if (number < minValue || number > maxValue) {
        fault(DocumentFaultCode::OutOfRange, name, "from " + std::to_string(minValue) + " to " + std::to_string(maxValue));
        return std::nullopt;
    }
    return number;
}

std::optional<bool> ObjectReader::boolean(const char* name)
{
    const nlohmann::json* value = findField(name, false);
    if (!value)
        return std::nullopt;
    if (!value->is_boolean()) {
        fault(DocumentFaultCode::WrongType, name, "true or false is expected");
        return std::nullopt;
    }
    return value->get<bool>();
}

std::vector<std::string> ObjectReader::strings(const char* name)
{
    std::vector<std::string> result;
    const nlohmann::json* value = findField(name, false);
    if (!value)
        return result;
    const auto isString = [](const nlohmann::json& element) { return element.is_string(); };
    if (!value->is_array() || !std::all_of(value->begin(), value->end(), isString)) {
        fault(DocumentFaultCode::WrongType, name, "an array of strings is expected");
        return result;
    }
    for (const nlohmann::json& element : *value)
        result.push_back(element.get<std::string>());
    return result;
}

void ObjectReader::object(const char* name, const std::function<void(ObjectReader&)>& read, bool required)
{
    const nlohmann::json* value = findField(name, required);
    if (!value)
        return;
    ObjectReader reader(m_document, *value, pointerTo(name));
    read(reader);
    reader.finish();
}

void ObjectReader::objects(const char* name, const std::function<void(ObjectReader&)>& read)
{
    const nlohmann::json* value = findField(name, false);
    if (!value)
        return;
    if (!value->is_array()) {
        fault(DocumentFaultCode::WrongType, name, "an array is expected");
        return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        ObjectReader reader(m_document, (*value)[i], pointerTo(name) + '/' + std::to_string(i));
        read(reader);
        reader.finish();
    }
}

void ObjectReader::fault(DocumentFaultCode code, const char* name, std::string detail)
{
    m_document.addFault(code, pointerTo(name), std::move(detail));
}

void ObjectReader::finish()
{
    if (!m_value.is_object())
        return;
    for (const auto& [name, value] : m_value.items()) {
        if (std::find(m_requestedFields.begin(), m_requestedFields.end(), name) == m_requestedFields.end())
            m_document.addFault(DocumentFaultCode::UnknownField, pointerTo(name), name);
    }
}

} // namespace lanemoor
