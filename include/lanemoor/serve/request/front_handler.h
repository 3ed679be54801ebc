#pragma once
/// \file
/// The handler of callers' requests.

#include "lanemoor/net/http_server.h"
#include "lanemoor/serve/process/order_claims.h"
#include "lanemoor/serve/process/shared_state.h"

#include <memory>

namespace lanemoor {

/// \brief Sends each caller's request to an endpoint and forwards the answer.
class FrontHandler final : public HttpHandler {
public:
    FrontHandler(SharedState& state, OrderClaims& claims);
    ~FrontHandler() override;

    void handle(HttpExchange& exchange) override;

    /// \returns The number of requests being handled, including listeners.
    [[nodiscard]] std::size_t inFlight() const noexcept;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
