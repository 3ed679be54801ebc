#pragma once
/// \file
/// Sends starts, stops and throttles, and takes in their answers.

#include "health_monitor.h"
#include "owner_state.h"

#include <map>

namespace lanemoor::jobs {

/// \brief Gives orders to workers while the ownership is held.
///
/// A start whose answer is overdue has an unknown outcome: the attempt may run, or may begin later.
/// A probe tells, or the next renewal; if the attempt is not there a stop settles
/// it, since a worker starts no attempt that it was told to stop. Stops are sent again until one is answered.
class OrderDesk : public std::enable_shared_from_this<OrderDesk> {
public:
    OrderDesk(OwnerState& state, HealthMonitor& health, SchedulerCounts& counts);

    /// \brief Books and sends a start. That of a suspect is sent once it is stored. \returns False if no order may be given now.
    /// \param isBesideSuspect Another member of its gang is a suspect: all are sent together.
    bool start(OwnerJob& job, const TaskId& task, std::uint64_t number, WorkerBook& worker, const std::string& ticket, bool isBesideSuspect = false);

    /// \brief Sends a stop; it is repeated until the attempt is over.
    void stop(const Attempt& attempt, const std::string& worker);

    /// \brief Stops all attempts of a job that a caller cancelled, or that has ended.
    void stopAll(OwnerJob& job);

    /// \brief Notes that a job is over, and stops what it still has running.
    void finish(OwnerJob& job);

    /// \brief Starts a task no more since it ends the workers that start it; see JobState.
    void giveUp(OwnerJob& job, const TaskId& task);

    /// \brief The worker has answered: sends the recorded starts that wait for that.
    void noteAnswer(const std::string& worker);

    void throttle(WorkerBook& worker, std::uint32_t percent);

    /// \brief Takes an attempt out of the worker's books and drops it from its job, if it is
    /// the live one. \param retryAt When the task may start again.
    void release(const Attempt& attempt, const std::string& worker, MonotonicInstant retryAt);

    /// \brief Hears no answers any more.
    void close() { m_closed = true; }

private:
    /// A start that is stored.
    struct RecordedStart {
        Attempt attempt;
        std::weak_ptr<WorkerSession> life;
        std::string ticket;
    };

    void recordAndSend(OwnerJob& job, const Attempt& attempt, WorkerBook& worker, const std::string& ticket);
    void sendRecorded(const Attempt& attempt, const std::string& worker, const WorkerSession* life, const std::string& ticket);
    [[nodiscard]] bool needsVerifiedWorker(const Attempt& attempt) const;
    void sendOnAnswer(const Attempt& attempt, WorkerBook& worker, const std::string& ticket);
    void withdrawRecorded(const Attempt& attempt, const std::string& worker);
    void send(const Attempt& attempt, WorkerBook& worker, const std::string& ticket);
    void started(const Attempt& attempt, const std::string& worker, const WorkerSession* life, const CommandResult& result);
    void refused(const Attempt& attempt, const std::string& worker, CommandOutcome outcome);
    void stopLater(const Attempt& attempt, const std::string& worker, Millis pause);
    void watchStart(const Attempt& attempt, const std::string& worker, Millis pause, std::uint32_t probes);
    void watchStop(const Attempt& attempt, const std::string& worker, std::uint32_t number);
    [[nodiscard]] const LiveAttempt* findLive(const Attempt& attempt, const std::string& worker) const;
    [[nodiscard]] WorkerBook* bookOfLife(const std::string& worker, const WorkerSession* life) const;
    [[nodiscard]] bool mayStopNow(const Attempt& attempt) const;
    void stopped(const Attempt& attempt, const std::string& worker, std::uint32_t number, const WorkerSession* life, const CommandResult& result);

    OwnerState& m_state;
    HealthMonitor& m_health;
    SchedulerCounts& m_counts;
    std::map<Attempt, std::uint32_t> m_stopsSent; ///< Of attempts whose stop is not answered; the newest one is sent again.
    std::map<std::string, std::vector<RecordedStart>> m_awaitingAnswer; ///< By worker.
    bool m_closed = false;
};

} // namespace lanemoor::jobs
