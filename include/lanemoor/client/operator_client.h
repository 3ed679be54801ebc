#pragma once
/// \file
/// Calls to the operators' port of an entry instance.

#include "lanemoor/net/http_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace lanemoor {

/// Where and how to call.
struct OperatorClientOptions {
    HttpAddress address { "127.0.0.1", 7300 };
    std::string token; ///< Empty: none is sent.
};

/// \brief Sends one call at a time.
class OperatorClient {
public:
    explicit OperatorClient(OperatorClientOptions options);

    /// \param condition Value of If-Match (or `*` for If-None-Match); empty: none.
    /// \returns The answer, or nothing; then `lastReason()` says why.
    [[nodiscard]] std::optional<HttpResponse> call(std::string_view method, std::string_view target, std::string_view body = {}, std::string_view condition = {});

    [[nodiscard]] const std::string& lastReason() const noexcept { return m_lastReason; }

private:
    OperatorClientOptions m_options;
    std::string m_lastReason;
};

} // namespace lanemoor
