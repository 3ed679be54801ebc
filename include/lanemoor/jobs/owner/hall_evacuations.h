#pragma once
/// \file
/// Data halls that operators ask to evacuate.

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

/// What the evacuation list works with. All of it outlives the list.
struct HallEvacuationsOptions {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    EventLog* log = nullptr;
    std::string prefix; ///< Of the requests; the rest of a key names the data hall.
    Millis readEvery { 700 }; ///< Well below the time in which a request must be in force.
    Millis patience { 700 }; ///< For an answer of the store, which takes some 300 ms while it is slow.
    Millis retryPause { 200 }; ///< After a call that failed.
    Millis bound { 0 }; ///< No task may start in a data hall so long after the request to evacuate it; 0: no bound.
    Millis startMargin { 1'000 }; ///< Of the bound, for a start on its way to a worker.
};

/// \brief Reads the requests to evacuate data halls while this instance owns the fleet.
///
/// The requests are listed again and again rather than watched: a watch that receives nothing cannot be told from one
/// whose events are lost, and a start in an evacuated data hall cannot be taken back. Where requests have a bound, the set of
/// data halls is confirmed only for so long after the time of the request whose answer brought it.
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

    /// \brief Sets the observer that is notified after the set of data halls, or whether it is confirmed, changed.
    void observe(std::function<void()> changed);

    /// \brief Starts to read the requests; what was read before is discarded.
    void start();

    /// \brief Stops reading.
    void stop();

    /// \returns Whether the requests have been read since the last start.
    [[nodiscard]] bool isKnown() const noexcept;

    /// \returns Whether tasks may be started by the set: it is known, and recent enough for the bound.
    [[nodiscard]] bool isConfirmed() const;

    /// \returns When the store was asked for the set in force. Meaningful while it is known.
    [[nodiscard]] MonotonicInstant confirmedAt() const noexcept;

    /// \returns Whether `dataHall` is being evacuated, as of the last answer of the store.
    [[nodiscard]] bool contains(const std::string& dataHall) const;

    /// \returns All data halls that are being evacuated, and when each request was first read here.
    [[nodiscard]] const std::map<std::string, MonotonicInstant>& requests() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
