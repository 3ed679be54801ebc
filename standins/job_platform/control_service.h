#pragma once
/// \file
/// The interface through which a test injects faults and writes to the store as an operator.

#include "advisor.h"
#include "fleet.h"
#include "lanemoor/aio/http_listener.h"
#include "store_service.h"

#include <cstdint>

namespace lanemoor::standin {

/// \brief Handles POST requests with JSON bodies:
///
/// | path | fields |
/// | --- | --- |
/// | `/begin` | `addresses`: by instance, the address in the store entry of its worker |
/// | `/store-faults` | `refusing`, `silent`, `lost_answers`, `late_writes`, `answer_ms` |
/// | `/put`, `/remove` | `key`, `value` |
/// | `/kill` | `instance`, `back_ms`, `keeps_id` |
/// | `/worker-faults` | `instance`, `mute`, `answer_ms` |
/// | `/advisor-faults` | `silent` |
class ControlService {
public:
    ControlService(aio::AsioEventLoop& loop, StoreService& store, Fleet& fleet, Advisor& advisor);

    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

private:
    [[nodiscard]] HttpResponse serve(const HttpRequest& request);

    StoreService& m_store;
    Fleet& m_fleet;
    Advisor& m_advisor;
    aio::HttpListener m_listener;
};

} // namespace lanemoor::standin
