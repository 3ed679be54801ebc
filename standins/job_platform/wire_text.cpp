#include "wire_text.h"

#include <charconv>

namespace lanemoor::standin {

namespace {

std::string percentDecode(std::string_view text)
{
    constexpr std::size_t escapeLength = 3;
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        const bool isEscape = text[i] == '%' && i + escapeLength <= text.size();
        if (isEscape && std::from_chars(text.data() + i + 1, text.data() + i + escapeLength, byte, hexadecimal).ec == std::errc()) {
            decoded += static_cast<char>(byte);
            i += escapeLength - 1;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace

HttpResponse answerJson(unsigned code, const nlohmann::json& body)
{
    HttpResponse response { .status = code, .headers = {}, .body = body.dump() };
    response.headers.add("Content-Type", "application/json");
    return response;
}

HttpResponse answerConflict(std::string_view reason, std::int64_t clock)
{
    return answerJson(status::conflict, { { "reason", reason }, { "clock_ms", clock } });
}

nlohmann::json objectIn(const HttpRequest& request)
{
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    return body.is_object() ? body : nlohmann::json::object();
}

std::string queryText(const HttpRequest& request, std::string_view name)
{
    return percentDecode(queryValue(request.target, name).value_or(std::string_view()));
}

std::uint64_t queryNumber(const HttpRequest& request, std::string_view name)
{
    return parseDecimal(queryText(request, name)).value_or(0);
}

std::int64_t integerIn(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

std::string textIn(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace lanemoor::standin
