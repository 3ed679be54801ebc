#include "lanemoor/serve/request/front_handler.h"

#include "lanemoor/decisions/endpoint_choice.h"
#include "lanemoor/decisions/retry_budget.h"
#include "lanemoor/serve/process/pool_gate.h"
#include "lanemoor/serve/request/answer_relay.h"
#include "lanemoor/serve/request/problem.h"
#include "lanemoor/serve/request/request_context.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <utility>

namespace lanemoor {

namespace {

constexpr int mostAttempts = 3;
constexpr Millis comeBackSoon { 1'000 };
constexpr std::string_view healthPath = "/healthz";
constexpr std::string_view readyPath = "/readyz";

/// Counts a request as in flight during its lifetime.
class InFlight {
public:
    InFlight(std::atomic<std::size_t>& count, Metrics& metrics) noexcept
        : m_count(count)
        , m_metrics(metrics)
    {
        m_metrics.set(StateGauge::InFlight, static_cast<double>(++m_count));
    }

    ~InFlight() { m_metrics.set(StateGauge::InFlight, static_cast<double>(--m_count)); }

    InFlight(const InFlight&) = delete;
    InFlight& operator=(const InFlight&) = delete;

private:
    std::atomic<std::size_t>& m_count;
    Metrics& m_metrics;
};

/// The result of sending a request.
struct Sending {
    RequestOutcome outcome = RequestOutcome::NotRun;
    std::optional<RequestRefusal> refusal; ///< Nothing if the answer was forwarded.
    unsigned status = 0; ///< HTTP status from the endpoint.
    bool answered = false; ///< Whether the caller has received its final answer or has disconnected.
};

/// \returns The outcome of a request after an exchange without a complete answer.
RequestOutcome outcomeOf(const ExchangeResult& result, bool saysNotRun) noexcept
{
    return !result.anySent || saysNotRun ? RequestOutcome::NotRun : RequestOutcome::Unknown;
}

double secondsSince(Instant instant) noexcept
{
    return std::chrono::duration<double>(currentInstant() - instant).count();
}

} // namespace

class FrontHandler::Impl {
public:
    Impl(SharedState& state, OrderClaims& claims)
        : m_state(state)
        , m_claims(claims)
    {
    }

    void handle(HttpExchange& exchange)
    {
        const std::string_view path = pathOf(exchange.request().target);
        if (path == healthPath)
            exchange.respond({ 200, {}, "ok\n" });
        else if (path == readyPath)
            answerReady(exchange);
        else
            serve(exchange);
    }

    [[nodiscard]] std::size_t inFlight() const noexcept { return m_inFlight.load(); }

private:
    void answerReady(HttpExchange& exchange) const
    {
        const Readiness readiness = m_state.readiness();
        exchange.respond({ readiness == Readiness::Ready ? 200U : 503U, {}, std::string(describe(readiness)) + '\n' });
    }

    void serve(HttpExchange& exchange)
    {
        const InFlight counted(m_inFlight, m_state.metrics());
        const Instant now = currentInstant();
        const auto read = readContext(exchange.request(), now, m_state.settings().defaultDeadline);
        if (const auto* bad = std::get_if<BadRequestHeader>(&read)) {
            exchange.respond(problemOf({ .refusal = RequestRefusal::BadHeader, .outcome = RequestOutcome::NotRun, .entry = m_state.settings().name, .detail = std::string(bad->header) }));
            return;
        }
        serveContext(exchange, std::get<RequestContext>(read));
    }

    void serveContext(HttpExchange& exchange, const RequestContext& context)
    {
        const std::shared_ptr<const Snapshot> snapshot = m_state.snapshot();
        const std::shared_ptr<const RoutingTable> table = m_state.routes();
        const PoolRoutes* routes = table->find(context.pool);
        const Team* team = snapshot->configuration->findTeam(context.team);
        RequestMeasure measure { .requestClass = context.requestClass, .team = team ? team->name : std::string() };
        if (const std::optional<RequestRefusal> refusal = refuseEarly(context, routes)) {
            finish(exchange, context, measure, { .refusal = refusal }, currentInstant() + comeBackSoon);
            return;
        }
        if (context.requestClass == RequestClass::Listener)
            serveListener(exchange, context, *routes, measure);
        else
            serveQueued(exchange, context, *routes, quotaShare(team), measure);
    }

    [[nodiscard]] std::optional<RequestRefusal> refuseEarly(const RequestContext& context, const PoolRoutes* routes) const
    {
        const Readiness readiness = m_state.readiness();
        if (readiness == Readiness::Stopping)
            return RequestRefusal::EntryStopping;
        if (readiness != Readiness::Ready)
            return RequestRefusal::EntryNotReady;
        if (!routes)
            return RequestRefusal::UnknownPool;
        if (currentInstant() >= context.deadline)
            return RequestRefusal::DeadlinePassed;
        if (routes->routes.empty())
            return RequestRefusal::NoEndpoint;
        return std::nullopt;
    }

    /// A team's quota applies to all entry instances together; each shard has a share of at least one.
    [[nodiscard]] std::uint32_t quotaShare(const Team* team) const
    {
        const Seat seat = m_state.seat();
        if (!team || seat.seats == 0)
            return 0;
        return std::max<std::uint32_t>(1, shareOfSeat(team->name, team->quota, seat.number, seat.seats));
    }

    void serveQueued(HttpExchange& exchange, const RequestContext& context, const PoolRoutes& routes, std::uint32_t quota, RequestMeasure& measure)
    {
        PoolGate& gate = gateOf(context.pool);
        const auto entered = gate.enter(context, routes, quota, exchange.descriptor());
        measure.waitedSeconds = secondsSince(context.arrivedAt);
        if (std::holds_alternative<CallerGone>(entered)) {
            m_state.metrics().onRequest(measure);
            return;
        }
        if (const auto* refusal = std::get_if<AdmissionRefusal>(&entered)) {
            finish(exchange, context, measure, { .refusal = refusal->reason }, refusal->retryAt);
            return;
        }
        const Sending sending = context.idempotencyKey.empty() ? send(exchange, context, routes, gate) : sendOrder(exchange, context, routes, gate);
        gate.leave(std::get<std::uint64_t>(entered), sending.outcome == RequestOutcome::Ran);
        finish(exchange, context, measure, sending, currentInstant() + comeBackSoon);
    }

    Sending sendOrder(HttpExchange& exchange, const RequestContext& context, const PoolRoutes& routes, PoolGate& gate)
    {
        ClaimAttempt attempt = m_claims.claim(context.team, context.idempotencyKey);
        if (std::holds_alternative<ClaimUnavailable>(attempt))
            return { .refusal = RequestRefusal::StoreAway };
        if (const auto* others = std::get_if<OrderClaim>(&attempt)) {
            const RequestOutcome outcome = others->state == ClaimState::Ran ? RequestOutcome::Ran : RequestOutcome::Unknown;
            return { .outcome = outcome, .refusal = RequestRefusal::AlreadyAccepted, .status = others->status };
        }
        Sending sending = send(exchange, context, routes, gate);
        m_claims.end(std::move(std::get<HeldClaim>(attempt)), sending.outcome, sending.status);
        return sending;
    }

    /// Sends a request, and retries on other endpoints as long as that is safe.
    Sending send(HttpExchange& exchange, const RequestContext& context, const PoolRoutes& routes, PoolGate& gate)
    {
        TriedEndpoints tried;
        Sending last { .refusal = RequestRefusal::NoEndpoint };
        m_retries.onFirstAttempt();
        for (int attempt = 0; attempt < mostAttempts; ++attempt) {
            if (attempt > 0 && !m_retries.take())
                break;
            const Route* route = gate.takeEndpoint(routes, m_state.endpoints(), tried);
            if (!route)
                break;
            if (attempt > 0)
                m_state.metrics().count(EventCounter::Retries);
            last = sendTo(exchange, context, *route);
            route->endpoint->giveSlot();
            tried.endpoints.insert(route->endpoint->id());
            tried.racks.insert(route->rack);
            const bool mayRepeat = last.outcome == RequestOutcome::NotRun || context.repeatable;
            if (last.answered || !mayRepeat || currentInstant() >= context.deadline)
                break;
        }
        return last;
    }

    Sending sendTo(HttpExchange& exchange, const RequestContext& context, const Route& route)
    {
        Endpoint& endpoint = *route.endpoint;
        std::unique_ptr<HttpConnection> connection = endpoint.connection(context.repeatable);
        AnswerRelay relay(exchange, m_state.settings().name);
        const ExchangeOptions options { context.deadline, exchange.descriptor() };
        const ExchangeResult result = connection->exchange(requestForEndpoint(exchange.request(), context), relay, options);
        if (relay.saysNotRun()) {
            m_state.endpoints().onLeaving(endpoint.id());
            return { .outcome = RequestOutcome::NotRun, .refusal = RequestRefusal::NoEndpoint };
        }
        if (result.fault == ExchangeFault::None) {
            learn(endpoint, relay.status());
            endpoint.keep(std::move(connection));
            relay.complete();
            return { .outcome = RequestOutcome::Ran, .status = relay.status(), .answered = true };
        }
        return failed(endpoint, result, relay);
    }

    void learn(Endpoint& endpoint, unsigned status)
    {
        constexpr unsigned firstServerError = 500;
        if (status >= firstServerError)
            m_state.endpoints().onFailure(endpoint.id());
        else
            m_state.endpoints().onSuccess(endpoint.id());
    }

    Sending failed(Endpoint& endpoint, const ExchangeResult& result, const AnswerRelay& relay)
    {
        Sending sending { .outcome = outcomeOf(result, false), .refusal = RequestRefusal::EndpointFailed };
        sending.answered = relay.isStreaming() || result.fault == ExchangeFault::Abandoned;
        if (result.fault == ExchangeFault::AnswerCut)
            sending.refusal = RequestRefusal::AnswerCut;
        if (result.fault == ExchangeFault::DeadlinePassed)
            sending.refusal = RequestRefusal::DeadlinePassed;
        if (result.fault != ExchangeFault::Abandoned && result.fault != ExchangeFault::DeadlinePassed)
            m_state.endpoints().onFailure(endpoint.id());
        return sending;
    }

    void serveListener(HttpExchange& exchange, const RequestContext& context, const PoolRoutes& routes, RequestMeasure& measure)
    {
        if (m_listeners.fetch_add(1) >= m_state.settings().mostListeners) {
            --m_listeners;
            finish(exchange, context, measure, { .refusal = RequestRefusal::QueueFull }, currentInstant() + comeBackSoon);
            return;
        }
        m_state.metrics().set(StateGauge::Listeners, m_listeners.load());
        Sending sending { .refusal = RequestRefusal::NoEndpoint };
        if (const Route* route = takeListenerRoute(routes)) {
            sending = sendTo(exchange, context, *route);
            route->endpoint->giveListener();
        }
        m_state.metrics().set(StateGauge::Listeners, --m_listeners);
        finish(exchange, context, measure, sending, currentInstant() + comeBackSoon);
    }

    /// Acquires a listener slot of the endpoint with the fewest listeners.
    const Route* takeListenerRoute(const PoolRoutes& routes)
    {
        const std::vector<std::string> ejected = m_state.endpoints().ejected(routes.members);
        const Route* best = nullptr;
        for (const Route& route : routes.routes) {
            const bool out = std::find(ejected.begin(), ejected.end(), route.endpoint->id()) != ejected.end();
            if (!out && (!best || route.endpoint->listeners() < best->endpoint->listeners()))
                best = &route;
        }
        return best && best->endpoint->takeListener(best->listeners) ? best : nullptr;
    }

    /// Answers the caller if it has no final answer yet, and records the request's metrics.
    void finish(HttpExchange& exchange, const RequestContext& context, RequestMeasure& measure, const Sending& sending, Instant retryAt)
    {
        if (!sending.answered) {
            const Problem problem { .refusal = sending.refusal.value_or(RequestRefusal::EndpointFailed), .outcome = sending.outcome, .entry = m_state.settings().name, .retryAt = retryAt, .endpointStatus = sending.status };
            exchange.respond(problemOf(problem));
        }
        measure.outcome = sending.outcome;
        measure.refusal = sending.refusal;
        measure.seconds = secondsSince(context.arrivedAt);
        m_state.metrics().onRequest(measure);
    }

    PoolGate& gateOf(const std::string& pool)
    {
        const std::lock_guard lock(m_gatesMutex);
        std::unique_ptr<PoolGate>& gate = m_gates[pool];
        if (!gate)
            gate = std::make_unique<PoolGate>(m_state.settings().mostWaiting);
        return *gate;
    }

    SharedState& m_state;
    OrderClaims& m_claims;
    RetryBudget m_retries;
    std::mutex m_gatesMutex;
    std::map<std::string, std::unique_ptr<PoolGate>> m_gates;
    std::atomic<std::size_t> m_inFlight { 0 };
    std::atomic<std::uint32_t> m_listeners { 0 };
};

FrontHandler::FrontHandler(SharedState& state, OrderClaims& claims)
    : m_impl(std::make_unique<Impl>(state, claims))
{
}

FrontHandler::~FrontHandler() = default;

void FrontHandler::handle(HttpExchange& exchange)
{
    m_impl->handle(exchange);
}

std::size_t FrontHandler::inFlight() const noexcept
{
    return m_impl->inFlight();
}

} // namespace lanemoor
