#pragma once
/// \file
/// The operator port: configuration, fleet, waves, metrics and health.

#include "lanemoor/adapters/store.h"
#include "lanemoor/net/http_server.h"
#include "lanemoor/serve/process/shared_state.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lanemoor {

/// \brief Handles operator requests. docs/OPERATING.md describes them.
class OperatorHandler final : public HttpHandler {
public:
    OperatorHandler(SharedState& state, const StoreFactory& stores);

    void handle(HttpExchange& exchange) override;

private:
    [[nodiscard]] HttpResponse answer(const HttpRequest& request);
    [[nodiscard]] HttpResponse answerGet(std::string_view path);
    [[nodiscard]] HttpResponse answerChange(const HttpRequest& request, std::string_view path);
    [[nodiscard]] HttpResponse editConfiguration(const std::function<void(Configuration&)>& edit);
    [[nodiscard]] HttpResponse changeDrain(std::string_view instance, bool drained);
    [[nodiscard]] bool isPermitted(const HttpRequest& request) const;
    [[nodiscard]] std::string nextChangeId();

    SharedState& m_state;
    const StoreFactory& m_stores;
    std::atomic<std::uint64_t> m_changes { 0 };
};

} // namespace lanemoor
