#pragma once
/// \file
/// HTTP messages as value types. All headers under net/ compile as C++17.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {

/// One header field.
struct HttpHeader {
    std::string name;
    std::string value;
};

/// \brief Header fields in the order of arrival. Names are case-insensitive.
class HttpHeaders {
public:
    HttpHeaders() = default;
    explicit HttpHeaders(std::vector<HttpHeader> headers);

    /// \returns The first value of `name`, or nothing.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const noexcept;

    /// \returns The number of fields called `name`.
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;

    void add(std::string name, std::string value);

    /// \brief Replaces all values of `name` by `value`.
    void set(std::string_view name, std::string value);

    void remove(std::string_view name);

    [[nodiscard]] const std::vector<HttpHeader>& all() const noexcept { return m_headers; }

private:
    std::vector<HttpHeader> m_headers;
};

/// A complete request.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    HttpHeaders headers;
    std::string body;
};

/// Status and header fields of an answer.
struct HttpResponseHead {
    unsigned status = 200;
    HttpHeaders headers;
};

/// A complete answer.
struct HttpResponse {
    unsigned status = 200;
    HttpHeaders headers;
    std::string body;
};

/// An IP address and a port.
struct HttpAddress {
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] friend bool operator==(const HttpAddress& a, const HttpAddress& b) noexcept { return a.ip == b.ip && a.port == b.port; }
};

/// \returns Whether `a` and `b` are equal, ignoring the case of ASCII letters.
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b) noexcept;

/// \param text Decimal digits only.
/// \returns Nothing if `text` is not a number below 2^63.
[[nodiscard]] std::optional<std::uint64_t> parseDecimal(std::string_view text) noexcept;

/// \param text For example `10.0.0.1:8080`; the part before the last colon is not validated.
/// \param minPort The smallest valid port; 0 where the kernel may choose the port.
/// \returns Nothing if `text` is not an address.
[[nodiscard]] std::optional<HttpAddress> parseAddress(std::string_view text, std::uint16_t minPort = 1);

/// \returns A strong entity tag for `version`, for example `"7"`.
[[nodiscard]] std::string formatEntityTag(std::uint64_t version);

/// \returns The version in a tag written by `formatEntityTag`; nothing for other tags.
[[nodiscard]] std::optional<std::uint64_t> parseEntityTag(std::string_view tag) noexcept;

/// \returns The standard reason phrase of `status`.
[[nodiscard]] const char* reasonPhrase(unsigned status) noexcept;

/// \returns The value of `name` in the query of `target`, or nothing. Percent escapes are
/// not decoded.
[[nodiscard]] std::optional<std::string_view> queryValue(std::string_view target, std::string_view name) noexcept;

/// \returns `target` without its query.
[[nodiscard]] std::string_view pathOf(std::string_view target) noexcept;

} // namespace lanemoor
