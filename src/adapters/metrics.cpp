#include "lanemoor/adapters/metrics.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace lanemoor {

namespace {

const prometheus::Histogram::BucketBoundaries latencyBounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 3.1, 10, 60 };

struct NamedMetric {
    const char* name;
    const char* help;
};

/// Indexed by `EventCounter`.
constexpr std::array<NamedMetric, 15> counterNames { {
    { "lanemoor_retries_total", "Requests sent to another endpoint after a failure." },
    { "lanemoor_store_calls_total", "Calls to the platform's store, a waiting watch as one." },
    { "lanemoor_store_faults_total", "Calls to the store that failed." },
    { "lanemoor_list_faults_total", "Reads of the instance list that failed." },
    { "lanemoor_ledger_writes_total", "Ledger versions written by this process." },
    { "lanemoor_ledger_conflicts_total", "Ledger writes refused because of another version." },
    { "lanemoor_moves_total", "Instances moved between pools by this process." },
    { "lanemoor_grants_total", "Disruption grants given by this process." },
    { "lanemoor_actions_total", "Actions sent to the platform." },
    { "lanemoor_peer_messages_sent_total", "Messages sent to other entry instances." },
    { "lanemoor_peer_messages_received_total", "Messages received from other entry instances." },
    { "lanemoor_peer_messages_bad_total", "Messages that could not be read." },
    { "lanemoor_peer_bytes_sent_total", "Bytes sent to other entry instances." },
    { "lanemoor_claims_made_total", "Orders claimed in the store." },
    { "lanemoor_claims_refused_total", "Orders refused because their key was used before." },
} };

/// Indexed by `StateGauge`.
constexpr std::array<NamedMetric, 8> gaugeNames { {
    { "lanemoor_ready", "1 while callers may be sent here." },
    { "lanemoor_configuration_revision", "Revision of the configuration in force." },
    { "lanemoor_ledger_version", "Version of the ledger in force." },
    { "lanemoor_holds_control", "1 while this process holds the control role." },
    { "lanemoor_listeners", "Standing answers held now." },
    { "lanemoor_in_flight", "Requests in flight now, listeners included." },
    { "lanemoor_pools_below_budget", "Pools with fewer instances in service than their minimum." },
    { "lanemoor_wave_due", "Instances still to be maintained." },
} };

} // namespace

class Metrics::Impl {
public:
    Impl()
        : m_requests(prometheus::BuildCounter().Name("lanemoor_requests_total").Help("Finished requests by class, team, outcome and refusal.").Register(m_registry))
        , m_breaches(prometheus::BuildCounter().Name("lanemoor_invariant_breaches_total").Help("Invariants found broken.").Register(m_registry))
        , m_refused(prometheus::BuildCounter().Name("lanemoor_requests_refused_unread_total").Help("Requests refused before they were handled, by port and status.").Register(m_registry))
        , m_latency(prometheus::BuildHistogram().Name("lanemoor_request_seconds").Help("Time from arrival to the end of the answer.").Register(m_registry))
        , m_wait(prometheus::BuildHistogram().Name("lanemoor_wait_seconds").Help("Time from arrival to the start.").Register(m_registry))
    {
        for (std::size_t i = 0; i < counterNames.size(); ++i)
            m_counters[i] = &prometheus::BuildCounter().Name(counterNames[i].name).Help(counterNames[i].help).Register(m_registry).Add({});
        for (std::size_t i = 0; i < gaugeNames.size(); ++i)
            m_gauges[i] = &prometheus::BuildGauge().Name(gaugeNames[i].name).Help(gaugeNames[i].help).Register(m_registry).Add({});
    }

    void onRequest(const RequestMeasure& measure)
    {
        const std::string requestClass(nameOf(measure.requestClass));
        const std::string refusal(measure.refusal ? nameOf(*measure.refusal) : std::string_view());
        m_requests.Add({ { "class", requestClass }, { "team", measure.team }, { "outcome", std::string(nameOf(measure.outcome)) }, { "refusal", refusal } }).Increment();
        m_latency.Add({ { "class", requestClass }, { "team", measure.team } }, latencyBounds).Observe(measure.seconds);
        m_wait.Add({ { "class", requestClass } }, latencyBounds).Observe(measure.waitedSeconds);
    }

    void onBreach(InvariantCode code)
    {
        m_breaches.Add({ { "invariant", std::string(describe(code)) } }).Increment();
    }

    void onRefused(const std::string& port, unsigned status)
    {
        m_refused.Add({ { "port", port }, { "status", std::to_string(status) } }).Increment();
    }

    void count(EventCounter counter, std::uint64_t times)
    {
        m_counters.at(static_cast<std::size_t>(counter))->Increment(static_cast<double>(times));
    }

    void set(StateGauge gauge, double value)
    {
        m_gauges.at(static_cast<std::size_t>(gauge))->Set(value);
    }

    [[nodiscard]] std::string text() const
    {
        return prometheus::TextSerializer().Serialize(m_registry.Collect());
    }

private:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_breaches;
    prometheus::Family<prometheus::Counter>& m_refused;
    prometheus::Family<prometheus::Histogram>& m_latency;
    prometheus::Family<prometheus::Histogram>& m_wait;
    std::array<prometheus::Counter*, counterNames.size()> m_counters {};
    std::array<prometheus::Gauge*, gaugeNames.size()> m_gauges {};
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::onRequest(const RequestMeasure& measure)
{
    m_impl->onRequest(measure);
}

void Metrics::onRefused(const std::string& port, unsigned status)
{
    m_impl->onRefused(port, status);
}

void Metrics::onBreach(InvariantCode code)
{
    m_impl->onBreach(code);
}

void Metrics::count(EventCounter counter, std::uint64_t times)
{
    m_impl->count(counter, times);
}

void Metrics::set(StateGauge gauge, double value)
{
    m_impl->set(gauge, value);
}

std::string Metrics::text() const
{
    return m_impl->text();
}

} // namespace lanemoor
