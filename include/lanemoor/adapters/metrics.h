#pragma once
/// \file
/// Counters, gauges and histograms in the Prometheus text format.

#include "lanemoor/decisions/invariants.h"
#include "lanemoor/decisions/request.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace lanemoor {

/// The labels and durations of a finished request.
struct RequestMeasure {
    RequestClass requestClass = RequestClass::Check;
    std::string team; ///< A team of the configuration, or empty.
    RequestOutcome outcome = RequestOutcome::NotRun;
    std::optional<RequestRefusal> refusal;
    double seconds = 0; ///< From arrival to the end of the answer.
    double waitedSeconds = 0; ///< From arrival to the start of its execution.
};

/// Event counters without labels.
enum class EventCounter {
    Retries,
    StoreCalls,
    StoreFaults,
    ListFaults,
    LedgerWrites,
    LedgerConflicts,
    Moves,
    Grants,
    Actions,
    PeerMessagesSent,
    PeerMessagesReceived,
    PeerMessagesBad,
    PeerBytesSent,
    ClaimsMade,
    ClaimsRefused,
};

/// Gauges of the process state.
enum class StateGauge {
    Ready,
    ConfigurationRevision,
    LedgerVersion,
    HoldsControl,
    Listeners,
    InFlight,
    PoolsBelowBudget,
    WaveDue,
};

/// \brief The metrics of one process. Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void onRequest(const RequestMeasure& measure);
    void onBreach(InvariantCode code);
    /// \brief Counts a request that was refused before it was handled.
    void onRefused(const std::string& port, unsigned status);
    void count(EventCounter counter, std::uint64_t times = 1);
    void set(StateGauge gauge, double value);

    /// \returns All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor
