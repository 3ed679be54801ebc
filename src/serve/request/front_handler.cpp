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

constexpr int maxAttempts = 3;
constexpr Millis defaultRetryDelay { 1'000 };
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
struct SendResult {
    RequestOutcome outcome = RequestOutcome::NotRun;
    std::optional<RequestRefusal> refusal; ///< Nothing if the answer was forwarded.
    unsigned status = 0; ///< HTTP status from the endpoint.
    bool answered = false; ///< Whether the caller has received its final answer or has disconnected.
};

/// \returns The outcome of a request after an exchange without a complete answer.
RequestOutcome outcomeOf(const ExchangeResult& result, bool reportsNotRun) noexcept
{
    return !result.anySent || reportsNotRun ? RequestOutcome::NotRun : RequestOutcome::Unknown;
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
            finish(exchange, context, measure, { .refusal = refusal }, currentInstant() + defaultRetryDelay);
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
        const EntryShard shard = m_state.shard();
        if (!team || shard.shardCount == 0)
            return 0;
        return std::max<std::uint32_t>(1, shareOfShard(team->name, team->quota, shard.number, shard.shardCount));
    }

    void serveQueued(HttpExchange& exchange, const RequestContext& context, const PoolRoutes& routes, std::uint32_t quota, RequestMeasure& measure)
    {
        PoolGate& gate = gateOf(context.pool);
        const auto entered = gate.enter(context, routes, quota, exchange.descriptor());
        measure.waitedSeconds = secondsSince(context.arrivedAt);
        if (std::holds_alternative<CallerDisconnected>(entered)) {
            m_state.metrics().onRequest(measure);
            return;
        }
        if (const auto* refusal = std::get_if<AdmissionRefusal>(&entered)) {
            finish(exchange, context, measure, { .refusal = refusal->reason }, refusal->retryAt);
            return;
        }
        const SendResult sendResult = context.idempotencyKey.empty() ? send(exchange, context, routes, gate) : sendOrder(exchange, context, routes, gate);
        gate.leave(std::get<std::uint64_t>(entered), sendResult.outcome == RequestOutcome::Ran);
        finish(exchange, context, measure, sendResult, currentInstant() + defaultRetryDelay);
    }

    SendResult sendOrder(HttpExchange& exchange, const RequestContext& context, const PoolRoutes& routes, PoolGate& gate)
    {
        ClaimAttempt attempt = m_claims.claim(context.team, context.idempotencyKey);
        if (std::holds_alternative<ClaimUnavailable>(attempt))
            return { .refusal = RequestRefusal::StoreUnavailable };
        if (const auto* existing = std::get_if<OrderClaim>(&attempt)) {
            const RequestOutcome outcome = existing->state == ClaimState::Ran ? RequestOutcome::Ran : RequestOutcome::Unknown;
            return { .outcome = outcome, .refusal = RequestRefusal::AlreadyAccepted, .status = existing->status };
        }
        SendResult sendResult = send(exchange, context, routes, gate);
        m_claims.end(std::move(std::get<HeldClaim>(attempt)), sendResult.outcome, sendResult.status);
        return sendResult;
    }

    /// Sends a request, and retries on other endpoints as long as that is safe.
    SendResult send(HttpExchange& exchange, const RequestContext& context, const PoolRoutes& routes, PoolGate& gate)
    {
        TriedEndpoints tried;
        SendResult last { .refusal = RequestRefusal::NoEndpoint };
        m_retries.onFirstAttempt();
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            if (attempt > 0 && !m_retries.tryAcquire())
                break;
            const Route* route = gate.acquireEndpoint(routes, m_state.endpoints(), tried);
            if (!route)
                break;
            if (attempt > 0)
                m_state.metrics().count(EventCounter::Retries);
            last = sendTo(exchange, context, *route);
            route->endpoint->releaseSlot();
            tried.endpoints.insert(route->endpoint->id());
            tried.racks.insert(route->rack);
            const bool mayRepeat = last.outcome == RequestOutcome::NotRun || context.repeatable;
            if (last.answered || !mayRepeat || currentInstant() >= context.deadline)
                break;
        }
        return last;
    }

    SendResult sendTo(HttpExchange& exchange, const RequestContext& context, const Route& route)
    {
        Endpoint& endpoint = *route.endpoint;
        std::unique_ptr<HttpConnection> connection = endpoint.connection(context.repeatable);
        AnswerRelay relay(exchange, m_state.settings().name);
        const ExchangeOptions options { context.deadline, exchange.descriptor() };
        const ExchangeResult result = connection->exchange(requestForEndpoint(exchange.request(), context), relay, options);
        if (relay.reportsNotRun()) {
            m_state.endpoints().onLeaving(endpoint.id());
            return { .outcome = RequestOutcome::NotRun, .refusal = RequestRefusal::NoEndpoint };
        }
        if (result.fault == ExchangeFault::None) {
            recordStatus(endpoint, relay.status());
            endpoint.keep(std::move(connection));
            relay.complete();
            return { .outcome = RequestOutcome::Ran, .status = relay.status(), .answered = true };
        }
        return recordFailure(endpoint, result, relay);
    }

    void recordStatus(Endpoint& endpoint, unsigned status)
    {
        constexpr unsigned firstServerError = 500;
        if (status >= firstServerError)
            m_state.endpoints().onFailure(endpoint.id());
        else
            m_state.endpoints().onSuccess(endpoint.id());
    }

    SendResult recordFailure(Endpoint& endpoint, const ExchangeResult& result, const AnswerRelay& relay)
    {
        SendResult sendResult { .outcome = outcomeOf(result, false), .refusal = RequestRefusal::EndpointFailed };
        sendResult.answered = relay.isStreaming() || result.fault == ExchangeFault::Abandoned;
        if (result.fault == ExchangeFault::AnswerCut)
            sendResult.refusal = RequestRefusal::AnswerCut;
        if (result.fault == ExchangeFault::DeadlinePassed)
            sendResult.refusal = RequestRefusal::DeadlinePassed;
        if (result.fault != ExchangeFault::Abandoned && result.fault != ExchangeFault::DeadlinePassed)
            m_state.endpoints().onFailure(endpoint.id());
        return sendResult;
    }

    void serveListener(HttpExchange& exchange, const RequestContext& context, const PoolRoutes& routes, RequestMeasure& measure)
    {
        if (m_listeners.fetch_add(1) >= m_state.settings().maxListeners) {
            --m_listeners;
            finish(exchange, context, measure, { .refusal = RequestRefusal::QueueFull }, currentInstant() + defaultRetryDelay);
            return;
        }
        m_state.metrics().set(StateGauge::Listeners, m_listeners.load());
        SendResult sendResult { .refusal = RequestRefusal::NoEndpoint };
        if (const Route* route = acquireListenerRoute(routes)) {
            sendResult = sendTo(exchange, context, *route);
            route->endpoint->releaseListener();
        }
        m_state.metrics().set(StateGauge::Listeners, --m_listeners);
        finish(exchange, context, measure, sendResult, currentInstant() + defaultRetryDelay);
    }

    /// Acquires a listener slot of the endpoint with the fewest listeners.
    const Route* acquireListenerRoute(const PoolRoutes& routes)
    {
        const std::vector<std::string> ejected = m_state.endpoints().ejected(routes.members);
        const Route* best = nullptr;
        for (const Route& route : routes.routes) {
            const bool isEjected = std::find(ejected.begin(), ejected.end(), route.endpoint->id()) != ejected.end();
            if (!isEjected && (!best || route.endpoint->listeners() < best->endpoint->listeners()))
                best = &route;
        }
        return best && best->endpoint->acquireListener(best->listeners) ? best : nullptr;
    }

    /// Answers the caller if it has no final answer yet, and records the request's metrics.
    void finish(HttpExchange& exchange, const RequestContext& context, RequestMeasure& measure, const SendResult& sendResult, Instant retryAt)
    {
        if (!sendResult.answered) {
            const Problem problem { .refusal = sendResult.refusal.value_or(RequestRefusal::EndpointFailed), .outcome = sendResult.outcome, .entry = m_state.settings().name, .retryAt = retryAt, .endpointStatus = sendResult.status };
            exchange.respond(problemOf(problem));
        }
        measure.outcome = sendResult.outcome;
        measure.refusal = sendResult.refusal;
        measure.seconds = secondsSince(context.arrivedAt);
        m_state.metrics().onRequest(measure);
    }

    PoolGate& gateOf(const std::string& pool)
    {
        const std::lock_guard lock(m_gatesMutex);
        std::unique_ptr<PoolGate>& gate = m_gates[pool];
        if (!gate)
            gate = std::make_unique<PoolGate>(m_state.settings().maxWaiting);
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
