#pragma once
/// \file
/// Metrics of the job service, in the Prometheus text format.

#include "lanemoor/jobs/intake/job_intake.h"
#include "lanemoor/jobs/model/store_condition.h"
#include "lanemoor/jobs/model/work_meter.h"
#include "lanemoor/jobs/owner/evacuation_reason.h"
#include "lanemoor/jobs/owner/evacuation_report.h"
#include "lanemoor/jobs/owner/job_report.h"
#include "lanemoor/jobs/owner/job_scheduler.h"
#include "lanemoor/jobs/policy/reachability.h"
#include "lanemoor/jobs/store/document_replica.h"
#include "lanemoor/jobs/store/hedged_store.h"
#include "lanemoor/jobs/store/store_mirror.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lanemoor::jobs {

struct FleetCounts;
struct RelayCounts;

/// State of the replica of one key prefix of the store.
struct ReplicaReading {
    std::string name;
    StoreMirrorCounts counts;
    double ageSeconds = 0; ///< Since the time as of which the replica is known to be complete.
};

/// Values that are read at each scrape.
struct MetricsReading {
    bool ready = false;
    bool owner = false;
    std::uint64_t configurationVersion = 0;
    double configurationAgeSeconds = 0; ///< Since the store was last known to hold no newer version.
    DocumentReplicaCounts configurationReads;
    std::uint64_t jobs = 0; ///< In the catalog.
    std::uint64_t absentCancels = 0; ///< Cancellations whose jobs are not stored.
    double storeAgeSeconds = 0; ///< Since the replica of the jobs was last known to be up to date.
    std::vector<ReplicaReading> replicas;
    StoreState storeState = StoreState::Writing;
    HedgeCounts hedges;
    std::uint64_t unsavedChanges = 0; ///< Jobs with changes that are not stored yet.
    double unsavedOldestSeconds = 0; ///< Since the oldest of these changes.
    std::uint64_t unreadableItems = 0;
    std::uint64_t logLinesDropped = 0;
    std::uint64_t decisionsOmitted = 0;
    std::uint64_t callsForOtherOwners = 0; ///< Calls that this process relayed for another owner.
    std::vector<OrganisationReport> organisations; ///< Empty unless this process is the owner.
    EvacuationReading workerEvacuations; ///< Empty unless this process is the owner.
    EvacuationsReport evacuations; ///< Without data halls unless this process is the owner.
    std::map<std::string, std::uint32_t> ejectedWorkers; ///< Ejected or probing workers by pool; empty unless this process is the owner.
    WorkReading work; ///< Time of the process's thread by kind of work.
    std::shared_ptr<const Reachability> reachability; ///< Null: unknown.
};

/// \brief The metrics of one process of the job service. The cardinality of labels is bounded: outcomes, reasons
/// and configured queues.
class JobMetrics {
public:
    JobMetrics();
    ~JobMetrics();
    JobMetrics(const JobMetrics&) = delete;
    JobMetrics& operator=(const JobMetrics&) = delete;

    /// \brief Counts a submitted job, and observes how long its caller waited.
    void noteSubmitted(const std::string& queue, AcceptOutcome outcome, double seconds);

    /// \brief Counts a job that was refused because its organisation's share is used up.
    /// \param reason One of a fixed set of names.
    void noteRefused(const std::string& queue, const std::string& reason);

    /// \brief Counts a request to cancel a job.
    void noteCancel(LookupOutcome outcome, double seconds);

    /// \brief Counts a call to the placement advisor.
    void noteAdvice(bool isAnswered, double seconds);

    /// \brief Counts a status request.
    void noteLookup(LookupOutcome outcome);

    /// \brief Counts a job description that could not be parsed.
    void noteRejected();

    /// \brief Counts a connection that was closed early, or whose request was refused before it was handled.
    /// \param address,reason Each one of a fixed set of names.
    void noteConnectionRefused(const std::string& address, const std::string& reason);

    /// \brief Counts a call that was refused for its route or key, or deferred.
    /// \param reason One of a fixed set of names.
    void noteCallerRefused(const std::string& reason);

    /// \returns All metrics as text.
    [[nodiscard]] std::string text(const MetricsReading& reading, const SchedulerCounts& scheduler, const FleetCounts& fleet, const RelayCounts& relay) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
