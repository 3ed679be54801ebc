#pragma once
/// \file
/// Sends starts, stops and throttles, and handles their answers.

#include "advice_client.h"
#include "health_monitor.h"
#include "owner_state.h"

#include <map>

namespace lanemoor::jobs {

/// \brief Sends commands to workers while the ownership is held.
///
/// A start whose answer is overdue has an unknown outcome: the attempt may run, or may begin later.
/// A probe or the next renewal resolves it. If the worker does not report the attempt, a stop settles it, since a worker
/// never starts an attempt after a stop for it. Stops are sent again until one is answered.
class CommandDispatcher : public std::enable_shared_from_this<CommandDispatcher> {
public:
    CommandDispatcher(OwnerState& state, HealthMonitor& health, AdviceClient& advice, SchedulerCounts& counts);

    /// \brief Reserves resources and sends a start. The start of a suspect is sent once it is stored.
    /// \param hasSuspectPeer Whether another member of its gang is a suspect: the whole gang is sent together.
    /// \returns False if no command may be sent now.
    bool start(OwnerJob& job, const TaskId& task, std::uint64_t number, WorkerRecord& worker, const std::string& ticket, bool hasSuspectPeer = false);

    /// \brief Notes that a worker has begun a task of the job. The job's status is stored with its next progress, or soon after.
    void noteBegun(OwnerJob& job);

    /// \brief Sends a stop, and repeats it until it is answered or the attempt is over.
    void stop(const Attempt& attempt, const std::string& worker);

    /// \brief Stops all attempts of a cancelled or finished job.
    void stopAll(OwnerJob& job);

    /// \brief Logs and counts the end of a job, and stops its remaining attempts.
    void finish(OwnerJob& job);

    /// \brief Fails the job if the task has reached its limit of failures. \returns Whether the job failed by that.
    bool failAtLimit(OwnerJob& job, const TaskId& task, std::uint32_t maxAttempts);

    /// \brief Fails a poison task permanently; see JobState.
    void failPermanently(OwnerJob& job, const TaskId& task);

    /// \brief Sends the recorded starts that wait for an answer of the worker.
    void noteAnswer(const std::string& worker);

    void throttle(WorkerRecord& worker, std::uint32_t percent);

    /// \brief Releases the attempt's reservation at the worker and drops the attempt from its job, if it is the live one.
    /// \param retryAt Earliest time of the task's next start.
    void release(const Attempt& attempt, const std::string& worker, MonotonicInstant retryAt);

    /// \brief Ignores all answers that arrive from now on.
    void close() { m_closed = true; }

private:
    /// A start that is stored and not sent yet.
    struct RecordedStart {
        Attempt attempt;
        std::weak_ptr<WorkerSession> session;
        std::string ticket;
    };

    void recordAndSend(OwnerJob& job, const Attempt& attempt, WorkerRecord& worker, const std::string& ticket);
    void sendRecorded(const Attempt& attempt, const std::string& worker, const WorkerSession* session, const std::string& ticket);
    [[nodiscard]] bool needsVerifiedWorker(const Attempt& attempt) const;
    void sendOnAnswer(const Attempt& attempt, WorkerRecord& worker, const std::string& ticket);
    void withdrawRecorded(const Attempt& attempt, const std::string& worker);
    void send(const Attempt& attempt, WorkerRecord& worker, const std::string& ticket);
    void onStartAnswered(const Attempt& attempt, const std::string& worker, const WorkerSession* session, const CommandResult& result);
    [[nodiscard]] MonotonicInstant retryAfterBadTicket(const Attempt& attempt, const std::string& worker);
    void onStartRefused(const Attempt& attempt, const std::string& worker, CommandOutcome outcome);
    void stopLater(const Attempt& attempt, const std::string& worker, Millis pause);
    void watchStart(const Attempt& attempt, const std::string& worker, Millis pause, std::uint32_t probes);
    void watchStop(const Attempt& attempt, const std::string& worker, std::uint32_t number);
    [[nodiscard]] const LiveAttempt* findLive(const Attempt& attempt, const std::string& worker) const;
    [[nodiscard]] WorkerRecord* recordOfSession(const std::string& worker, const WorkerSession* session) const;
    [[nodiscard]] bool mayStopNow(const Attempt& attempt) const;
    void onStopAnswered(const Attempt& attempt, const std::string& worker, std::uint32_t number, const WorkerSession* session, const CommandResult& result);

    OwnerState& m_state;
    HealthMonitor& m_health;
    AdviceClient& m_advice;
    SchedulerCounts& m_counts;
    std::map<Attempt, std::uint32_t> m_stopsSent; ///< Number of stops sent, for attempts with an unanswered stop; only the latest stop is sent again.
    std::map<std::string, std::vector<RecordedStart>> m_awaitingAnswer; ///< By worker.
    bool m_closed = false;
};

} // namespace lanemoor::jobs
