#pragma once
/// \file
/// One entry instance of the job service: accepts jobs, and runs them while it owns the shard.

#include "lanemoor/jobs/intake/caller_access.h"
#include "lanemoor/jobs/intake/job_intake.h"
#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/forward_declarations.h"
#include "lanemoor/jobs/model/job_spec.h"
#include "lanemoor/jobs/owner/job_report.h"
#include "lanemoor/jobs/owner/job_scheduler.h"
#include "lanemoor/jobs/service/job_service_settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor {
class EventLog;
} // namespace lanemoor

namespace lanemoor::jobs {

/// Dependencies of the service. All of them must outlive it.
struct JobServiceParts {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    WorkerControl* workers = nullptr;
    PeerTransport* peers = nullptr; ///< Null: the owner calls every worker directly.
    std::string peerAddress; ///< Where other instances reach `peers`.
    FleetControl* fleet = nullptr;
    PlacementAdvisor* advisor = nullptr;
    const PlatformDocuments* documents = nullptr;
    EventLog* log = nullptr;
};

/// Whether a caller's request is admitted.
enum class Admission {
    Admitted,
    Deferred, ///< The request is not refused but can't be handled now. It was not executed, so the caller can retry.
    NoSuchQueue,
    KeyRefused, ///< The key is missing or unknown.
};

/// Result of the check of a request before its body is read.
struct AdmissionResult {
    Admission admission = Admission::Deferred;
    Caller caller; ///< Only valid if the request is admitted.
    std::string job; ///< Path after the queue's prefix; empty: the request concerns the queue.
};

/// \brief One entry instance of the job service.
class JobService {
public:
    JobService(const JobServiceParts& parts, const JobServiceSettings& settings);
    ~JobService();
    JobService(const JobService&) = delete;
    JobService& operator=(const JobService&) = delete;

    /// \brief Starts to read the store and to compete for the ownership.
    void start();

    /// \brief Planned stop: reports not ready, releases the ownership, and serves until all calls are answered or time is up.
    /// \param done Called when the service has stopped.
    void stop(const std::function<void()>& done);

    /// \returns The configuration in force here, or null before the first one was read.
    [[nodiscard]] std::shared_ptr<const ServiceConfiguration> configuration() const;

    /// \returns Whether callers' requests can be handled: the configuration and the store's state are loaded.
    [[nodiscard]] bool takesRequests() const;

    /// \returns Whether the load balancer should send callers here.
    [[nodiscard]] bool isReady() const;

    /// \returns Delay after which a refused caller should retry.
    [[nodiscard]] Millis retryAfter() const noexcept;

    /// \returns Delay, a whole number of seconds, after which the caller should retry a submission that the store rejected or did not answer.
    [[nodiscard]] Millis retryAfter(const std::string& submission);

    /// \returns Delay after which the caller should retry a job that was refused because its organisation's share is used up.
    [[nodiscard]] Millis retryAfterRefusal(const Caller& caller) const;

    /// \name Callers
    ///@{
    /// \brief Finds the queue of a request and checks its key, both by the same configuration.
    ///
    /// Calls are deferred while the configuration may have been replaced longer than `configurationApplyTime` ago.
    /// Refused calls, and calls deferred for this reason, are counted and logged.
    /// \param host Without port.
    /// \param key As sent by the caller, if any.
    [[nodiscard]] AdmissionResult admit(std::string_view host, std::string_view path, std::optional<std::string_view> key);
    void submit(const Caller& caller, const std::string& id, JobSpec spec, std::function<void(AcceptOutcome)> done);
    void noteRejected(const std::string& id, JobFault fault);

    /// \brief Counts and logs a connection that was closed early, or whose request was refused before it was handled.
    /// \param address,reason Each one of a fixed set of names.
    void noteConnectionRefused(std::string_view address, std::string_view reason);

    void status(const Caller& caller, const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done);
    void cancel(const Caller& caller, const std::string& id, std::function<void(LookupOutcome)> done);

    /// \param done Called with the number of accepted jobs of the queue that have not started, or with nothing if it is unknown.
    /// May be called synchronously.
    void pending(const std::string& queue, const std::function<void(std::optional<std::uint64_t>)>& done);
    ///@}

    /// \name For operators, without a check of the caller
    ///@{
    void submit(const std::string& queue, const std::string& id, JobSpec spec, std::function<void(AcceptOutcome)> done);
    void status(const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done);
    void cancel(const std::string& id, std::function<void(LookupOutcome)> done);
    ///@}

    /// \name Operators
    ///@{
    /// \returns Up to `limit` jobs of `queue`, or of all queues, ordered by id.
    [[nodiscard]] std::vector<JobSummary> jobs(const std::optional<std::string>& queue, std::size_t limit) const;

    /// \returns This instance's report on the job; nothing if the job is not in its catalog.
    [[nodiscard]] std::optional<JobReport> job(const std::string& id) const;

    [[nodiscard]] std::vector<ShardReport> shards() const;

    /// \returns The usage and quota of each organisation; empty unless this instance is the owner.
    [[nodiscard]] OrganisationsReport organisations() const;

    /// \returns Data halls that are evacuated or lost; empty unless this instance is the owner.
    [[nodiscard]] EvacuationsReport evacuations() const;

    /// \returns All workers and their health; empty unless this instance is the owner.
    [[nodiscard]] WorkersReport workers() const;
    ///@}

    /// \returns Counters of this process as an owner, as in its metrics.
    [[nodiscard]] const SchedulerCounts& schedulerCounts() const noexcept;

    /// \returns Metrics in the Prometheus text format.
    [[nodiscard]] std::string metrics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
