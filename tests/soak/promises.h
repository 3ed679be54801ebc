#pragma once
/// \file
/// What a run must keep to, checked from outside: by what workers, callers and operators observe.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lanemoor::soak {

/// \name Promises
///@{
namespace promise {
constexpr const char* oneAttemptAtOnce = "one-attempt-at-once"; ///< No two attempts of a task run at the same time.
constexpr const char* noneAfterSuccess = "none-after-success"; ///< No attempt starts after a success was acknowledged.
constexpr const char* stepsInOrder = "steps-in-order"; ///< No step starts before the steps that it depends on have succeeded.
constexpr const char* acceptedJobsEnd = "accepted-jobs-end"; ///< Each accepted job ends.
constexpr const char* acceptedJobsKnown = "accepted-jobs-known"; ///< Each accepted job has a status.
constexpr const char* statusIsTrue = "status-is-true"; ///< A job succeeds only if its tasks have, and fails only for a cause.
constexpr const char* refusalsAreTrue = "refusals-are-true"; ///< A job that was only ever refused never runs.
constexpr const char* nothingUnasked = "nothing-unasked"; ///< Nothing starts that nobody submitted, or once a cancel is in force.
constexpr const char* evacuatedHallsRest = "evacuated-halls-rest"; ///< No start in an evacuated data hall after its bound.
constexpr const char* plannedStopsCutNothing = "planned-stops-cut-nothing"; ///< A process cuts no request unless it was killed.
constexpr const char* plannedStopsEnd = "planned-stops-end"; ///< A process that is asked to stop ends within its grace.
constexpr const char* configurationNeverReverts = "configuration-never-reverts"; ///< No process takes an older one.
constexpr const char* ownersApart = "owners-apart"; ///< Acts of two owners on one instance are apart.
constexpr const char* servesAgain = "serves-again"; ///< After the last fault all processes serve, with the last configuration.
} // namespace promise
///@}

/// A promise that was broken.
struct Breach {
    std::string promise;
    std::string detail;
    std::vector<std::string> ids; ///< Of jobs or instances that it concerns; log lines about it contain them.
    std::int64_t at = 0; ///< Unix ms.

    [[nodiscard]] bool operator==(const Breach&) const = default;
};

/// How an answer to a submission counts.
enum class Submission {
    Accepted,
    Refused, ///< The answer says that the job was not taken.
    Unknown, ///< It may have been taken.
};

/// A job that a caller submits.
struct SubmittedJob {
    std::string id;
    std::vector<std::uint32_t> tasks; ///< By step. Each step depends on the one before it.
    std::uint32_t mostAttempts = 1;

    [[nodiscard]] bool operator==(const SubmittedJob&) const = default;
};

/// \brief Checks the promises. All times are Unix ms of this machine.
class Promises {
public:
    /// \name Callers
    ///@{
    void noteSubmitted(const SubmittedJob& job);
    void noteAnswer(const std::string& id, Submission answer);
    void noteCancelSent(const std::string& id) { m_jobs[id].cancelSent = true; }
    void noteCancelled(const std::string& id, std::int64_t at) { m_jobs[id].cancelledAt = at; }
    /// \param status As the service names it; empty: no such job is known.
    void noteStatus(const std::string& id, const std::string& status, std::int64_t at);
    /// \brief A connection was closed before the answer, by a process that was not killed.
    void noteCut(const std::string& entry, const std::string& id, std::int64_t at);
    ///@}

    /// \name Workers and instances
    ///@{
    /// \param event A line of the stand-in's output.
    void noteEvent(const nlohmann::json& event);
    ///@}

    /// \name Operators and processes
    ///@{
    void noteEvacuation(const std::string& dataHall, std::int64_t acknowledgedAt) { m_evacuatedSince[dataHall] = acknowledgedAt; }
    void noteEvacuationOver(const std::string& dataHall) { m_evacuatedSince.erase(dataHall); }
    /// \brief What holds only for processes in contact is not judged until some time after `until`.
    void noteTrouble(std::int64_t until);
    void noteConfiguration(const std::string& entry, std::uint64_t version, std::int64_t at);
    void noteStopTooLong(const std::string& entry, std::int64_t at);
    void noteNotServing(const std::string& entry, const std::string& detail, std::int64_t at);
    ///@}

    /// \returns Accepted jobs that no final status was seen of.
    [[nodiscard]] std::vector<std::string> openJobs() const;

    /// \returns Whether the job was seen to have succeeded.
    [[nodiscard]] bool hasSucceeded(const std::string& id) const;

    /// \brief Judges what can be judged only when nothing more happens.
    void finish(std::int64_t at);

    [[nodiscard]] const std::vector<Breach>& breaches() const noexcept { return m_breaches; }
    [[nodiscard]] std::uint64_t starts() const noexcept { return m_starts; }
    [[nodiscard]] std::size_t accepted() const;
    /// \returns When a task last started in a data hall; 0: never.
    [[nodiscard]] std::int64_t lastStartIn(const std::string& dataHall) const;
    /// \returns Starts that an evacuation forbade nothing of, but that were judged against one.
    [[nodiscard]] std::uint64_t judgedEvacuations() const noexcept { return m_judgedEvacuations; }

private:
    struct Job {
        SubmittedJob spec;
        bool accepted = false;
        bool unknown = false;
        bool cancelSent = false;
        std::optional<std::int64_t> cancelledAt;
        std::string status;
        bool hasStarted = false;
        bool isTold = false; ///< That it is not known.
    };

    struct Task {
        std::map<std::string, std::uint64_t> running; ///< Attempts by worker.
        bool succeeded = false;
        bool successStored = false;
        std::uint32_t failures = 0;
        std::uint32_t crashes = 0;
    };

    /// A task's name on the wire: JOB.OCCURRENCE.STEP.INDEX.
    struct TaskName {
        std::string job;
        std::uint32_t step = 0;
    };

    [[nodiscard]] static TaskName parse(const std::string& task);
    [[nodiscard]] static std::string nameOf(const std::string& job, std::uint32_t step, std::uint32_t index);
    void noteStart(const nlohmann::json& event);
    void checkOrder(const Job& job, const TaskName& name, std::int64_t at);
    void checkCancelled(const Job& job, const std::string& task, std::int64_t at);
    void checkEvacuation(const nlohmann::json& event, std::int64_t at);
    void noteAct(const nlohmann::json& event);
    void checkStatus(const std::string& id, const Job& job, std::int64_t at);
    [[nodiscard]] bool isInContact(std::int64_t at) const noexcept;
    void breach(const char* promise, std::string detail, std::vector<std::string> ids, std::int64_t at);

    std::map<std::string, Job> m_jobs;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, std::int64_t> m_evacuatedSince;
    std::map<std::string, std::uint64_t> m_configurations;
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> m_lastAct; ///< Fence and time, by instance.
    std::map<std::string, std::int64_t> m_lastStart; ///< By data hall.
    std::int64_t m_troubleUntil = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_judgedEvacuations = 0;
    std::vector<Breach> m_breaches;
};

} // namespace lanemoor::soak
