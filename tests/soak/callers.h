#pragma once
/// \file
/// Simulated callers of the job service, and the load balancer that chooses a process for each request.

#include "guarantee_monitor.h"
#include "lanemoor/aio/asio_event_loop.h"
#include "lanemoor/aio/http_client.h"
#include "soak_cluster.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace lanemoor::soak {

/// Counts of the callers' requests and their outcomes.
struct CallerCounts {
    std::uint64_t submitted = 0;
    std::uint64_t refusals = 0;
    std::uint64_t unknown = 0;
    std::uint64_t cancels = 0; ///< Acknowledged.
    std::uint64_t absentCancels = 0; ///< Of them, those of jobs that were not stored.
};

/// \brief Submits jobs, cancels some of them, and requests their status.
class Callers {
public:
    /// \param drainEvents Reads the worker events written so far; called before a status is checked.
    Callers(aio::AsioEventLoop& loop, SoakCluster& cluster, GuaranteeMonitor& guarantees, std::function<void()> drainEvents);

    /// \brief Submits jobs at random times until `end`.
    void submitUntil(jobs::MonotonicInstant end);

    /// \brief Submits several jobs to a process at once, so that it has requests in flight.
    void burst(unsigned entry);

    /// \brief Polls the readiness of each process periodically.
    void pollReadiness();

    /// \brief Submits a job of one short task to a process. \returns The job's id.
    std::string probe(unsigned entry);

    /// \brief Requests the status of each accepted job without a final status.
    void requestUnfinishedStatuses();

    /// \brief Requests the counts of waiting jobs of all queues.
    void requestCounts();

    [[nodiscard]] const CallerCounts& counts() const noexcept { return m_counts; }

private:
    struct Call {
        std::string id;
        std::string queue;
        std::string body;
        unsigned triesLeft = 0;
    };

    void submitNext();
    [[nodiscard]] Call makeCall();
    void submit(const Call& call, unsigned entry);
    void onAnswer(Call call, const aio::HttpReply& reply);
    void cancelLater(const Call& call);
    void cancel(const std::string& id, unsigned triesLeft);
    void requestStatus(const std::string& id);
    /// Sends a request about a job and records a connection that is closed before the response.
    void send(unsigned entry, HttpRequest request, const std::string& id, std::function<void(const aio::HttpReply&)> done);
    [[nodiscard]] unsigned readyEntry();
    [[nodiscard]] bool happens(unsigned oneIn) { return m_random() % oneIn == 0; }

    aio::AsioEventLoop& m_loop;
    SoakCluster& m_cluster;
    GuaranteeMonitor& m_guarantees;
    std::function<void()> m_drainEvents;
    aio::HttpClient m_client;
    aio::HttpClient m_balancer;
    std::mt19937_64 m_random;
    jobs::MonotonicInstant m_end;
    std::map<std::string, std::string> m_queues; ///< By job.
    std::set<std::string> m_cancelled; ///< Jobs with a cancel request in flight.
    std::set<std::string> m_statusRequests; ///< Jobs with a status request in flight.
    CallerCounts m_counts;
};

} // namespace lanemoor::soak
