#pragma once
/// \file
/// Requests of operators to evacuate data halls.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lanemoor {
class EventLog;
} // namespace lanemoor

namespace lanemoor::jobs {

/// Dependencies and settings of the reader. All referenced objects outlive it.
struct HallEvacuationsOptions {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    EventLog* log = nullptr;
    std::string prefix; ///< Key prefix of the requests; the rest of a key is the name of the data hall.
    Millis readEvery { 700 }; ///< Interval; well below the time limit within which a request must be in force.
    Millis readTimeout { 700 }; ///< Time limit of a store call; a slow store takes about 300 ms.
    Millis retryPause { 200 }; ///< Pause after a failed call.
    Millis bound { 0 }; ///< Time after a request from which no task may start in the data hall; 0: no limit.
    Millis startMargin { 1'000 }; ///< Share of the bound reserved for a start in transit to a worker.
};

/// \brief Reads the requests to evacuate data halls while this process owns the fleet.
///
/// The requests are polled rather than watched: an idle watch cannot be distinguished from one whose events are lost, and a start in an
/// evacuated data hall cannot be undone. If requests have a bound, the set of data halls stays confirmed only for that time, less a margin,
/// after the read that returned it was sent.
///
/// \code
/// evacuations.start(); // Ownership gained.
/// if (evacuations.isConfirmed() && !evacuations.contains(worker.dataHall))
///     place(task, worker);
/// \endcode
class HallEvacuations {
public:
    explicit HallEvacuations(HallEvacuationsOptions options);
    ~HallEvacuations();
    HallEvacuations(const HallEvacuations&) = delete;
    HallEvacuations& operator=(const HallEvacuations&) = delete;

    /// \brief Sets the observer that is notified when the set of data halls changes, or whether it is confirmed.
    void observe(std::function<void()> changed);

    /// \brief Starts reading the requests and discards earlier results.
    void start();

    /// \brief Stops reading.
    void stop();

    /// \returns Whether the requests have been read since the last start.
    [[nodiscard]] bool isKnown() const noexcept;

    /// \returns Whether the set allows starts: it is known, and recent enough for the bound.
    [[nodiscard]] bool isConfirmed() const;

    /// \returns When the read that returned the current set was sent. Only valid if `isKnown()`.
    [[nodiscard]] MonotonicInstant confirmedAt() const noexcept;

    /// \returns Whether `dataHall` is being evacuated according to the last complete read.
    [[nodiscard]] bool contains(const std::string& dataHall) const;

    /// \returns All data halls that are being evacuated, with the time at which this process first read the request.
    [[nodiscard]] const std::map<std::string, MonotonicInstant>& requests() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
