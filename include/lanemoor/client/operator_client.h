#pragma once
/// \file
/// Client of an entry instance's operator port.

#include "lanemoor/net/http_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// Address and credentials of an operator client.
struct OperatorClientOptions {
    HttpAddress address { "127.0.0.1", 7300 };
    std::string token; ///< Bearer token; none is sent if empty.
};

/// \brief Sends one request at a time, each on its own connection.
class OperatorClient {
public:
    explicit OperatorClient(OperatorClientOptions options);

    /// \param condition Value of If-Match, or `*` for If-None-Match; empty for neither.
    /// \returns The answer; nothing on failure, with the reason in `lastReason()`.
    [[nodiscard]] std::optional<HttpResponse> call(std::string_view method, std::string_view target, std::string_view body = {}, std::string_view condition = {});

    [[nodiscard]] const std::string& lastReason() const noexcept { return m_lastReason; }

private:
    OperatorClientOptions m_options;
    std::string m_lastReason;
};

} // namespace lanemoor
