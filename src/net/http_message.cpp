#include "lanemoor/net/http_message.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lanemoor {

namespace {

char lowered(char c) noexcept
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b) noexcept
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return lowered(x) == lowered(y); });
}

std::optional<std::uint64_t> parseDecimal(std::string_view text) noexcept
{
    constexpr auto largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (text.empty())
        return std::nullopt;
    std::uint64_t number = 0;
    for (const char c : text) {
        if (c < '0' || c > '9')
            return std::nullopt;
        const auto digit = static_cast<std::uint64_t>(c - '0');
        if (number > (largest - digit) / 10)
            return std::nullopt;
        number = number * 10 + digit;
    }
    return number;
}

std::optional<HttpAddress> parseAddress(std::string_view text, std::uint16_t minPort)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    const std::optional<std::uint64_t> port = parseDecimal(text.substr(colon + 1));
    if (!port || *port < minPort || *port > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return HttpAddress { std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port) };
}

HttpHeaders::HttpHeaders(std::vector<HttpHeader> headers)
    : m_headers(std::move(headers))
{
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const noexcept
{
    for (const HttpHeader& header : m_headers) {
        if (equalsIgnoringCase(header.name, name))
            return std::string_view(header.value);
    }
    return std::nullopt;
}

std::size_t HttpHeaders::count(std::string_view name) const noexcept
{
    const auto named = [&](const HttpHeader& header) { return equalsIgnoringCase(header.name, name); };
    return static_cast<std::size_t>(std::count_if(m_headers.begin(), m_headers.end(), named));
}

void HttpHeaders::add(std::string name, std::string value)
{
    m_headers.push_back({ std::move(name), std::move(value) });
}

void HttpHeaders::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void HttpHeaders::remove(std::string_view name)
{
    const auto named = [&](const HttpHeader& header) { return equalsIgnoringCase(header.name, name); };
    m_headers.erase(std::remove_if(m_headers.begin(), m_headers.end(), named), m_headers.end());
}

std::string formatEntityTag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

std::optional<std::uint64_t> parseEntityTag(std::string_view tag) noexcept
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    return parseDecimal(tag.substr(1, tag.size() - 2));
}

const char* reasonPhrase(unsigned status) noexcept
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 411:
        return "Length Required";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string_view pathOf(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string_view> queryValue(std::string_view target, std::string_view name) noexcept
{
    const std::size_t mark = target.find('?');
    std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    }
    return std::nullopt;
}

} // namespace lanemoor
