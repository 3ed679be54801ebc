#pragma once
/// \file
/// The guarantees of the job service, checked from outside by what workers, callers and operators observe.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lanemoor::soak {

/// \name Guarantees
///@{
namespace guarantee {
constexpr const char* oneAttemptAtOnce = "one-attempt-at-once"; ///< No two attempts of a task run at the same time.
constexpr const char* noneAfterSuccess = "none-after-success"; ///< No attempt starts after a success was acknowledged.
constexpr const char* stepsInOrder = "steps-in-order"; ///< No step starts before the steps that it depends on have succeeded.
constexpr const char* acceptedJobsEnd = "accepted-jobs-end"; ///< Each accepted job ends.
constexpr const char* acceptedJobsKnown = "accepted-jobs-known"; ///< Each accepted job has a status.
constexpr const char* statusIsTrue = "status-is-true"; ///< A job is reported as succeeded only if its tasks have, and as failed only with a cause.
constexpr const char* refusalsAreTrue = "refusals-are-true"; ///< A job whose submissions were all refused never runs.
constexpr const char* nothingUnasked = "nothing-unasked"; ///< No task starts without a submission of its job, or once a cancel is in force.
constexpr const char* evacuatedHallsRest = "evacuated-halls-rest"; ///< No task starts in an evacuated data hall after the evacuation bound.
constexpr const char* plannedStopsCutNothing = "planned-stops-cut-nothing"; ///< A process closes no connection before the response unless it was killed.
constexpr const char* plannedStopsEnd = "planned-stops-end"; ///< A process ends within its grace period after SIGTERM.
constexpr const char* configurationNeverReverts = "configuration-never-reverts"; ///< No process applies an older configuration than before.
constexpr const char* ownersApart = "owners-apart"; ///< Actions of two owners on one instance are separated by a minimum time.
constexpr const char* servesAgain = "serves-again"; ///< After the last fault all processes serve with the latest configuration.
constexpr const char* workersOpenAgain = "workers-open-again"; ///< After the last fault and job no worker stays closed to new tasks.
constexpr const char* attemptsAreBounded = "attempts-are-bounded"; ///< No task starts after its limit of failures that were acknowledged.
constexpr const char* countsAreTrue = "counts-are-true"; ///< A count of waiting jobs covers at least half of those accepted a while before.
} // namespace guarantee
///@}

/// A violated guarantee.
struct Breach {
    std::string guarantee;
    std::string detail;
    std::vector<std::string> ids; ///< Ids of the jobs, instances or processes concerned; they select the log lines to print.
    std::int64_t at = 0; ///< Unix ms.

    [[nodiscard]] bool operator==(const Breach&) const = default;
};

/// Outcome of a submission.
enum class Submission {
    Accepted,
    Refused, ///< The response states that the job was not accepted.
    Unknown, ///< The job may have been accepted.
};

/// A job that a caller submits.
struct SubmittedJob {
    std::string id;
    std::vector<std::uint32_t> tasks; ///< By step. Each step depends on the one before it.
    std::uint32_t maxAttempts = 1;
    std::string queue;

    [[nodiscard]] bool operator==(const SubmittedJob&) const = default;
};

/// \brief Checks the guarantees. All times are Unix ms on this machine's clock.
class GuaranteeMonitor {
public:
    /// \name Callers
    ///@{
    void noteSubmitted(const SubmittedJob& job);
    void noteAnswer(const std::string& id, Submission answer, std::int64_t at);
    void noteCancelSent(const std::string& id) { m_jobs[id].cancelSent = true; }
    void noteCancelled(const std::string& id, std::int64_t at) { m_jobs[id].cancelledAt = at; }
    /// \param status Status name reported by the service; empty if the service reports no such job.
    void noteStatus(const std::string& id, const std::string& status, std::int64_t at);
    /// \brief Checks a count of the waiting jobs of a queue. \param askedAt When it was requested.
    void noteCount(const std::string& entry, const std::string& queue, std::uint64_t pending, std::int64_t askedAt);
    /// \brief Records that a process which was not killed closed a connection before the response.
    void noteClosedEarly(const std::string& entry, const std::string& id, std::int64_t at);
    ///@}

    /// \name Workers and instances
    ///@{
    /// \param event A parsed line of the stand-in's output.
    void noteEvent(const nlohmann::json& event);
    ///@}

    /// \name Operators and processes
    ///@{
    void noteEvacuation(const std::string& dataHall, std::int64_t acknowledgedAt) { m_evacuatedSince[dataHall] = acknowledgedAt; }
    void noteEvacuationOver(const std::string& dataHall) { m_evacuatedSince.erase(dataHall); }
    /// \brief Suspends the checks that hold only for connected processes until some time after `until`.
    void noteFaults(std::int64_t until);
    void noteConfiguration(const std::string& entry, std::uint64_t version, std::int64_t at);
    void noteStopTooLong(const std::string& entry, std::int64_t at);
    void noteNotServing(const std::string& entry, const std::string& detail, std::int64_t at);
    /// \brief Records that an owner still keeps workers closed to new tasks long after the last fault and job.
    /// \param workers Unset: the owner has not reported their number.
    void noteStillClosed(const std::string& owner, std::optional<std::int64_t> workers, std::int64_t at);
    ///@}

    /// \returns Accepted jobs without a final status.
    [[nodiscard]] std::vector<std::string> unfinishedJobs() const;

    /// \returns Whether the job was seen to have succeeded.
    [[nodiscard]] bool hasSucceeded(const std::string& id) const;

    /// \brief Runs the checks that are possible only after all activity has ended.
    void finish(std::int64_t at);

    [[nodiscard]] const std::vector<Breach>& breaches() const noexcept { return m_breaches; }
    [[nodiscard]] std::uint64_t starts() const noexcept { return m_starts; }
    [[nodiscard]] std::size_t accepted() const;
    /// \returns The time of the last task start in a data hall; 0 if none.
    [[nodiscard]] std::int64_t lastStartIn(const std::string& dataHall) const;
    /// \returns The number of starts that were checked while an evacuation was in force.
    [[nodiscard]] std::uint64_t evacuationChecks() const noexcept { return m_evacuationChecks; }
    /// \returns The number of counts that were checked while jobs waited.
    [[nodiscard]] std::uint64_t countChecks() const noexcept { return m_countChecks; }

private:
    struct Job {
        SubmittedJob spec;
        bool accepted = false;
        std::int64_t acceptedAt = 0; ///< Of the first answer that accepted the job.
        bool unknown = false;
        bool cancelSent = false;
        std::optional<std::int64_t> cancelledAt;
        std::string status;
        bool hasStarted = false;
        bool isReportedUnknown = false; ///< The missing status has been reported as a breach.
    };

    struct Task {
        std::map<std::string, std::uint64_t> running; ///< Attempt numbers, by worker.
        bool succeeded = false;
        bool successStored = false;
        std::uint64_t startAfterSuccess = 0; ///< Attempt that started after a success which was not stored yet; 0: none.
        std::uint32_t failures = 0;
        std::uint32_t failuresStored = 0;
        std::uint32_t crashes = 0;
    };

    /// A task's name on the wire: JOB.OCCURRENCE.STEP.INDEX.
    struct TaskName {
        std::string job;
        std::uint32_t step = 0;
    };

    [[nodiscard]] static TaskName parse(const std::string& task);
    [[nodiscard]] static std::string nameOf(const std::string& job, std::uint32_t step, std::uint32_t index);
    void noteStored(Task& task, const nlohmann::json& event);
    void noteStart(const nlohmann::json& event);
    void checkOrder(const Job& job, const TaskName& name, std::int64_t at);
    void checkCancelled(const Job& job, const std::string& task, std::int64_t at);
    void checkEvacuation(const nlohmann::json& event, std::int64_t at);
    void noteAction(const nlohmann::json& event);
    void checkStatus(const std::string& id, const Job& job, std::int64_t at);
    [[nodiscard]] bool isConnected(std::int64_t at) const noexcept;
    void reportBreach(const char* guarantee, std::string detail, std::vector<std::string> ids, std::int64_t at);

    std::uint64_t m_countChecks = 0;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, std::int64_t> m_evacuatedSince;
    std::map<std::string, std::uint64_t> m_configurations;
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> m_lastAction; ///< Fencing token and time, by instance.
    std::map<std::string, std::int64_t> m_lastStart; ///< By data hall.
    std::int64_t m_faultsUntil = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_evacuationChecks = 0;
    std::vector<Breach> m_breaches;
};

} // namespace lanemoor::soak
