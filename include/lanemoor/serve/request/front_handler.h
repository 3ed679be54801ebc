#pragma once
/// \file
/// Serves callers.

#include "lanemoor/net/http_server.h"
#include "lanemoor/serve/process/order_claims.h"
#include "lanemoor/serve/process/shared_state.h"

#include <memory>

namespace lanemoor {

/// \brief Takes a caller's request, sends it to an endpoint and passes the answer on.
class FrontHandler final : public HttpHandler {
public:
    FrontHandler(SharedState& state, OrderClaims& claims);
    ~FrontHandler() override;

    void handle(HttpExchange& exchange) override;

    /// \returns Requests being handled now, listeners included.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
