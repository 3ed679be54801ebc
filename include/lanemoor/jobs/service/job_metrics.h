#pragma once
/// \file
/// Metrics of the job service, in Prometheus' text format.

#include "lanemoor/jobs/intake/job_intake.h"
#include "lanemoor/jobs/model/store_condition.h"
#include "lanemoor/jobs/model/work_meter.h"
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

/// What one copy of a part of the store has read.
struct CopyReading {
    std::string name;
    StoreMirrorCounts counts;
    double ageSeconds = 0; ///< Since the time as of which it is known to hold all.
};

/// What is read at the moment of a scrape.
struct MetricsReading {
    bool ready = false;
    bool owner = false;
    std::uint64_t configurationVersion = 0;
    double configurationAgeSeconds = 0; ///< Since the store was known to hold no newer one.
    DocumentReplicaCounts configurationReads;
    std::uint64_t jobs = 0; ///< Known from the store.
    double storeAgeSeconds = 0; ///< Since the copy of the jobs was last known to be fresh.
    std::vector<CopyReading> copies;
    StoreState storeState = StoreState::Writing;
    HedgeCounts hedges;
    std::uint64_t unsavedChanges = 0; ///< Jobs that changed and are not stored yet.
    double unsavedOldestSeconds = 0; ///< Since the first of them changed.
    std::uint64_t unreadableItems = 0;
    std::uint64_t logLinesDropped = 0;
    std::uint64_t decisionsOmitted = 0;
    std::uint64_t carriedCalls = 0; ///< That this process carried for an owner elsewhere.
    std::vector<OrganisationReport> organisations; ///< As the owner knows them; none elsewhere.
    EvacuationsReport evacuations; ///< As the owner knows them; no data halls elsewhere.
    std::map<std::string, std::uint32_t> ejectedWorkers; ///< Ejected or probing, by pool; none elsewhere.
    WorkReading work; ///< What the process's thread was at work on.
    std::shared_ptr<const Reachability> reachability; ///< As the owner knows it; null: not known.
};

/// \brief The metrics of one process of the job service. Labels take few values: outcomes, and
/// the operators' queues.
class JobMetrics {
public:
    JobMetrics();
    ~JobMetrics();
    JobMetrics(const JobMetrics&) = delete;
    JobMetrics& operator=(const JobMetrics&) = delete;

    /// \brief Counts a job that was handed in, and how long its caller waited.
    void noteHandedIn(const std::string& queue, AcceptOutcome outcome, double seconds);

    /// \brief Counts a job that was refused for its organisation's share.
    /// \param reason One of a few fixed words.
    void noteRefused(const std::string& queue, const std::string& reason);

    /// \brief Counts a request to cancel.
    void noteCancel(LookupOutcome outcome, double seconds);

    /// \brief Counts a status that was asked for.
    void noteLookup(LookupOutcome outcome);

    /// \brief Counts a description that could not be read.
    void noteRejected();

    /// \param reason One of a few fixed words.
    void noteTurnedAway(const std::string& reason);

    /// \returns All metrics as text.
    [[nodiscard]] std::string text(const MetricsReading& reading, const SchedulerCounts& scheduler, const FleetCounts& fleet, const RelayCounts& relay) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace lanemoor::jobs
