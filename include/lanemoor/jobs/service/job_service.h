#pragma once
/// \file
/// One entry instance of the job service: takes jobs, and runs them while it owns the shard.

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

/// What lies outside the service. All of it outlives the service.
struct JobServiceParts {
    EventLoop* loop = nullptr;
    KeyValueStore* store = nullptr;
    WorkerControl* workers = nullptr;
    PeerTransport* peers = nullptr; ///< Null: the owner calls every worker itself.
    std::string peerAddress; ///< Where other instances reach `peers`.
    FleetControl* fleet = nullptr;
    PlacementAdvisor* advisor = nullptr;
    const PlatformDocuments* documents = nullptr;
    EventLog* log = nullptr;
};

/// Whether a caller's request is let in.
enum class Admission {
    LetIn,
    Later, ///< Nothing is known that would refuse it, and it can't be handled now: it has not run.
    NoSuchQueue,
    KeyRefused, ///< The key is missing, or nobody holds it.
};

/// What is known of a request before its body is read.
struct AdmittedCall {
    Admission admission = Admission::Later;
    Caller caller; ///< Meaningful if it is let in.
    std::string job; ///< What stands behind the queue's prefix; empty: the request is about the queue.
};

/// \brief One entry instance.
class JobService {
public:
    JobService(const JobServiceParts& parts, const JobServiceSettings& settings);
    ~JobService();
    JobService(const JobService&) = delete;
    JobService& operator=(const JobService&) = delete;

    /// \brief Begins to read the store and to compete for the ownership.
    void start();

    /// \brief Planned stop: takes no jobs, passes the ownership on, answers what it has.
    /// \param done Called when nothing is left to do.
    void stop(const std::function<void()>& done);

    /// \returns The configuration in force here, or null before the first.
    [[nodiscard]] std::shared_ptr<const ServiceConfiguration> configuration() const;

    /// \returns Whether callers' requests can be handled at all.
    [[nodiscard]] bool takesRequests() const;

    /// \returns Whether the balancer should send callers here.
    [[nodiscard]] bool isReady() const;

    /// \returns When a caller that was refused should come back.
    [[nodiscard]] Millis retryAfter() const noexcept;

    /// \returns Within whole seconds, how long the caller of a submission should wait that the store did not take or answer.
    [[nodiscard]] Millis retryAfter(const std::string& submission);

    /// \returns When a caller should come back whose job was refused for its organisation's share.
    [[nodiscard]] Millis retryAfterRefusal(const Caller& caller) const;

    /// \name Callers
    ///@{
    /// \brief Finds the queue of a request and checks its key, by one configuration.
    ///
    /// A configuration that may have been replaced longer ago than `configurationApplyTime` decides nothing: the call comes again
    /// later. Calls that are refused or deferred are counted and logged.
    /// \param host Without its port.
    /// \param key As the caller sent it, if any.
    [[nodiscard]] AdmittedCall admit(std::string_view host, std::string_view path, std::optional<std::string_view> key);
    void submit(const Caller& caller, const std::string& id, JobSpec spec, std::function<void(AcceptOutcome)> done);
    void noteRejected(const std::string& id, JobFault fault);

    void status(const Caller& caller, const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done);
    void cancel(const Caller& caller, const std::string& id, std::function<void(LookupOutcome)> done);

    /// \param done Called with the accepted jobs of the queue of which nothing has begun, or with nothing while that is not known.
    /// May be called from within.
    void pending(const std::string& queue, const std::function<void(std::optional<std::uint64_t>)>& done);
    ///@}

    /// \name Without a check of the caller, for operators
    ///@{
    void submit(const std::string& queue, const std::string& id, JobSpec spec, std::function<void(AcceptOutcome)> done);
    void status(const std::string& id, const std::function<void(LookupOutcome, JobStatus)>& done);
    void cancel(const std::string& id, std::function<void(LookupOutcome)> done);
    ///@}

    /// \name Operators
    ///@{
    /// \returns Jobs of `queue`, or of all, at most `most`, ordered by id.
    [[nodiscard]] std::vector<JobSummary> jobs(const std::optional<std::string>& queue, std::size_t most) const;

    /// \returns What this instance knows of the job; nothing if it knows none.
    [[nodiscard]] std::optional<JobReport> job(const std::string& id) const;

    [[nodiscard]] std::vector<ShardReport> shards() const;

    /// \returns What each organisation has running against its quota, as the owner knows it.
    [[nodiscard]] OrganisationsReport organisations() const;

    /// \returns Data halls that are evacuated or lost, as far as this instance knows.
    [[nodiscard]] EvacuationsReport evacuations() const;

    /// \returns All workers and their health, as the owner judges them.
    [[nodiscard]] WorkersReport workers() const;
    ///@}

    /// \returns Counts of this process as an owner, as its metrics show them.
    [[nodiscard]] const SchedulerCounts& schedulerCounts() const noexcept;

    /// \returns Metrics in Prometheus' text format.
    [[nodiscard]] std::string metrics() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
