#pragma once
/// \file
/// One incarnation of a worker: leases on its own clock, fencing, and reports kept until acknowledged.

#include "event_writer.h"
#include "lanemoor/aio/http_listener.h"
#include "lanemoor/jobs/model/event_loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace lanemoor::standin {

class Advisor;

/// Identity and location of a worker.
struct WorkerIdentity {
    std::string id;
    std::string instance;
    std::string dataHall;
    std::int64_t startedAt = 0; ///< Start time of this incarnation, Unix ms.
};

/// \brief Handles the calls to one incarnation. Destruction ends its runs.
///
/// A payload is a JSON object: `ms` is the run time. The optional `fails` makes the run fail, `advised` makes its start need a ticket.
class Worker {
public:
    Worker(jobs::EventLoop& loop, EventWriter& events, const Advisor& advisor, WorkerIdentity identity);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    [[nodiscard]] const WorkerIdentity& identity() const noexcept { return m_identity; }

    /// \name Calls
    /// Each gets the body of the request and responds once, at once or later.
    ///@{
    void start(const nlohmann::json& body, const aio::HttpResponder& respond);
    void stop(const nlohmann::json& body, const aio::HttpResponder& respond);
    void hold(const nlohmann::json& body, const aio::HttpResponder& respond);
    void pace(const nlohmann::json& body, const aio::HttpResponder& respond);
    ///@}

private:
    using Run = std::pair<std::string, std::uint64_t>; ///< Task and attempt number.

    struct Progress {
        std::string checkpoint;
        jobs::MonotonicInstant startedAt;
        jobs::MonotonicInstant endsAt;
        jobs::TimerId end = 0;
    };

    struct End {
        std::uint64_t sequence = 0;
        Run run;
        const char* outcome = "";
    };

    struct Waiting {
        aio::HttpResponder respond;
        jobs::TimerId timeout = 0;
    };

    [[nodiscard]] bool isFenced(const nlohmann::json& body);
    [[nodiscard]] bool lacksTicket(const nlohmann::json& body) const;
    [[nodiscard]] HttpResponse begin(const Run& run, const nlohmann::json& body);
    void extendLease(std::int64_t until);
    void expireLease();
    void endRun(const Run& run, const char* outcome);
    void acknowledge(std::uint64_t upTo);
    void answerWaiting();
    void writeEvent(const char* event, const Run& run);
    [[nodiscard]] nlohmann::json report() const;
    [[nodiscard]] std::int64_t clock() const;
    [[nodiscard]] jobs::MonotonicInstant instantOf(std::int64_t clock) const;

    jobs::EventLoop& m_loop;
    EventWriter& m_events;
    const Advisor& m_advisor;
    WorkerIdentity m_identity;
    jobs::MonotonicInstant m_clockStart; ///< Zero of the worker's clock.
    std::int64_t m_fence = 0;
    jobs::MonotonicInstant m_leaseUntil;
    jobs::TimerId m_leaseTimer = 0;
    std::map<Run, Progress> m_running;
    std::deque<End> m_ended;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_expiredUpTo = 0; ///< Ends up to this one precede a lease expiry; their acknowledgements don't count as stored.
    std::map<std::string, std::uint64_t> m_settled; ///< Highest stopped or ended attempt number, by task.
    std::vector<jobs::TimerId> m_stops;
    std::map<std::uint64_t, Waiting> m_waiting;
    std::uint64_t m_lastWaiting = 0;
};

} // namespace lanemoor::standin
