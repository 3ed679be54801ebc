#pragma once
/// \file
/// Entry instances of the job service on a simulated store and simulated workers and instances.

#include "lanemoor/adapters/event_log.h"
#include "lanemoor/jobs/model/platform_documents.h"
#include "lanemoor/jobs/service/job_service.h"
#include "peers_model.h"
#include "store_model.h"
#include "workers_model.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lanemoor::model {

/// \brief Documents for simulations: each text is a key to a ready-made object, so that nothing is parsed.
class ModelDocuments final : public jobs::PlatformDocuments {
public:
    std::map<std::string, jobs::ServiceConfiguration> configurations;
    std::map<std::string, jobs::WorkerEntry> workers;
    std::map<std::string, jobs::WaveRequest> waves;

    [[nodiscard]] std::string configurationKey() const override { return "operator/configuration"; }
    [[nodiscard]] std::string workerPrefix() const override { return "worker/"; }
    [[nodiscard]] std::string wavePrefix() const override { return "operator/wave/"; }
    [[nodiscard]] std::string evacuationPrefix() const override { return "operator/evacuation/"; }
    [[nodiscard]] std::string waveStatusKey(std::uint64_t wave) const override { return "status/wave/" + std::to_string(wave); }
    [[nodiscard]] std::optional<jobs::ServiceConfiguration> readConfiguration(std::string_view text) const override;
    [[nodiscard]] std::optional<jobs::WorkerEntry> readWorker(const std::string& id, std::string_view text, jobs::WorkerEntryFault* fault) const override;
    [[nodiscard]] std::optional<jobs::WaveRequest> readWave(std::string_view text) const override;
    [[nodiscard]] std::string formatWaveStatus(bool finished) const override { return finished ? "finished" : "running"; }
};

/// A violated guarantee, as observed from outside.
struct Breach {
    std::string rule;
    std::string detail;
};

/// \brief Observes workers and callers and checks the guarantees of the job service.
class GuaranteeChecker final : public WorkerObserver {
public:
    explicit GuaranteeChecker(const SimClock& clock)
        : m_clock(clock)
    {
    }

    std::function<void(const Breach&)> onBreach; ///< Called for each breach; may be null.
    std::function<std::vector<std::string>(const std::string& worker)> labelsOf; ///< Null: labels are not checked.
    std::function<std::string(const std::string& worker)> hallOf; ///< Null: evacuations are not checked.

    /// \param queue Empty: unknown until the job is accepted.
    void noteSubmitted(const std::string& id, const jobs::JobSpec& spec, std::uint32_t maxAttempts, const std::string& queue = {});
    /// \brief Sets the organisation whose quota a job counts against.
    void noteOrganisation(const std::string& id, const std::string& organisation) { m_organisations[id] = organisation; }

    /// \brief Records a quota set by operators. A lowered quota is enforced once all entries must have received it.
    void noteQuota(const std::string& organisation, const jobs::Resources& quota);
    /// \brief Records a limit of attempts set by operators. It replaces the queue's previous one once all entries must have received it.
    void noteLimit(const std::string& queue, std::uint32_t maxAttempts);
    /// \brief Records that operators removed a queue. Its last limit stays in force, and also an earlier one that still applied: no entry needs
    /// to have received a version that was replaced within the bound.
    void noteQueueRemoved(const std::string& queue);
    /// \brief Records that entries or the store have faults until `end`. Time bounds that hold only for connected entries are not
    /// checked until the entries are connected again.
    void noteFaults(MonotonicInstant end);
    void noteAccepted(const std::string& id, const std::string& queue);
    /// \brief Checks a count of the waiting jobs of a queue. \param askedAt When it was requested.
    void noteCount(const std::string& queue, std::uint64_t pending, MonotonicInstant askedAt);
    void noteCancelSent(const std::string& id);
    void noteCancelled(const std::string& id);
    /// \brief Records a call that the platform does not permit as a breach.
    void noteMisuse(const std::string& detail);
    void noteWave(const jobs::WaveRequest& wave);
    /// \brief Records an evacuation request for a data hall, or its withdrawal.
    void noteEvacuation(const std::string& dataHall, bool isRequested);
    void onStart(const std::string& worker, const jobs::StartCommand& command, bool late) override;
    void onEnd(const std::string& worker, const jobs::Attempt& attempt, jobs::AttemptEnd end, const Departure& departure) override;
    void onWorkerFailed(const std::string& worker, const jobs::Attempt& attempt, const Departure& departure) override;
    void onFleetAction(const std::string& instance, const jobs::FleetHolder& holder) override;
    void onMaintenance(const std::string& instance, std::uint64_t wave, Millis time) override;
    void onStored(const std::string& worker, const jobs::EndedAttempt& ended) override;
    void onWorkerCrashed(const std::string& worker, const jobs::Attempt& attempt) override;
    void onOverload(const std::string& worker, const jobs::Attempt& attempt) override;

    [[nodiscard]] const std::vector<Breach>& breaches() const noexcept { return m_breaches; }
    [[nodiscard]] const jobs::JobSpec* job(const std::string& id) const;
    [[nodiscard]] std::uint32_t maxAttempts(const std::string& id) const { return m_jobs.at(id).maxAttempts; }

    /// \returns Whether every task of the job has succeeded.
    [[nodiscard]] bool hasSucceeded(const std::string& id) const;

    /// \returns Whether a job may be reported as failed: one of its tasks or gangs has used all attempts, or two workers have
    /// crashed under one of its tasks. The platform permits a task to fail permanently after two crashes.
    [[nodiscard]] bool mayHaveFailed(const std::string& id) const;

    /// \returns The number of workers that a task has crashed.
    [[nodiscard]] std::uint32_t workersCrashedBy(const std::string& id, const jobs::TaskId& task) const;

    /// \returns The worker that runs a task; empty if none does.
    [[nodiscard]] std::string workerOf(const std::string& id, const jobs::TaskId& task) const;

    [[nodiscard]] std::uint64_t starts() const noexcept { return m_starts; }

private:
    using Task = std::pair<std::string, jobs::TaskId>;

    struct Job {
        jobs::JobSpec spec;
        std::uint32_t maxAttempts = 0;
        MonotonicInstant submittedAt;
        std::string queue;
        std::optional<MonotonicInstant> acceptedAt; ///< When a caller first received the acceptance.
        bool hasBegun = false;
        bool cancelSent = false;
        std::optional<MonotonicInstant> cancelledAt; ///< When the caller received the acknowledgement.
    };

    void reportBreach(const std::string& rule, const std::string& detail);
    void noteSuccess(const jobs::Attempt& attempt);
    void noteFailure(const jobs::Attempt& attempt);
    void removeRunning(const std::string& worker, const jobs::Attempt& attempt);
    void noteDeparture(const jobs::Attempt& attempt, const Departure& departure);
    void checkGangCheckpoint(const jobs::StartCommand& command);
    void checkBudget(const jobs::Attempt& attempt);
    void checkQuota(const jobs::Attempt& attempt, const jobs::StepSpec& step);

    const SimClock& m_clock;
    std::map<std::string, Job> m_jobs;
    std::map<Task, std::set<std::string>> m_running; ///< Workers, by task.
    std::set<Task> m_succeeded;
    std::set<Task> m_storedSuccess;
    std::map<Task, std::uint64_t> m_startsAfterSuccess; ///< Numbers of starts that followed a success which is not stored yet.
    std::map<Task, std::set<std::uint64_t>> m_storedFailures;
    std::map<Task, std::set<std::uint64_t>> m_failures; ///< Attempt numbers, by task; a gang's under its first task.
    std::map<jobs::Attempt, std::string> m_gangCheckpoints; ///< By the first member's attempt.
    std::map<Task, std::uint32_t> m_crashesCaused; ///< Workers crashed by the task.
    std::map<Task, std::uint32_t> m_crashesUnder; ///< Workers that crashed under the task for any reason.
    MonotonicInstant m_connectedFrom;
    std::map<Task, std::uint32_t> m_excessStarts; ///< Counted starts of tasks that had already crashed three workers.
    std::map<Task, MonotonicInstant> m_takenDownUntil; ///< Time until which a command accounts for the task's absence.
    std::map<std::string, std::pair<std::uint64_t, MonotonicInstant>> m_lastAction; ///< Epoch and time, by instance.
    std::map<std::uint64_t, std::uint32_t> m_maxConcurrent; ///< By wave.
    std::map<std::uint64_t, std::vector<MonotonicInstant>> m_backAt; ///< Return times of the instances in maintenance, by wave.
    std::map<std::string, MonotonicInstant> m_evacuatedSince; ///< By data hall.
    std::map<Task, MonotonicInstant> m_absentSince; ///< Time since which a task runs on no worker.
    /// A quota and, once replaced, the time until which it still applies.
    struct Quota {
        jobs::Resources limit;
        std::optional<MonotonicInstant> until;
    };

    /// A limit of attempts and, once replaced, the time until which it still applies.
    struct Limit {
        std::uint32_t maxAttempts = 0;
        std::optional<MonotonicInstant> until;
    };

    /// Limits of a job that were in force at `since` or later, in increasing order.
    [[nodiscard]] std::vector<std::uint32_t> limitsSince(const Job& job, MonotonicInstant since) const;

    std::map<std::string, std::vector<Limit>> m_limits; ///< By queue, oldest first. Jobs of other queues keep the limit at their submission.
    std::map<std::string, std::string> m_organisations; ///< By job.
    std::map<std::string, std::vector<Quota>> m_quotas; ///< By organisation, oldest first.
    std::uint64_t m_starts = 0;
    std::vector<Breach> m_breaches;
};

/// \brief A cluster in one process, on a simulated clock.
class JobCluster {
public:
    explicit JobCluster(std::uint64_t seed, std::size_t entries = 3);
    ~JobCluster();

    /// \name Components
    ///@{
    std::mt19937_64 random;
    SimClock clock;
    StoreModel store;
    WorkersModel workers;
    PeersModel peers;
    ModelDocuments documents;
    GuaranteeChecker checker;
    ///@}

    /// \name Entry instances
    ///@{
    [[nodiscard]] std::size_t entries() const noexcept { return m_entries.size(); }
    [[nodiscard]] jobs::JobService& entry(std::size_t index) { return *m_entries[index].service; }
    [[nodiscard]] bool isUp(std::size_t index) const { return m_entries[index].service != nullptr; }
    /// \param silently Peers are not notified, as after a power loss.
    void kill(std::size_t index, bool silently = false);
    void start(std::size_t index);
    void freeze(std::size_t index);
    void thaw(std::size_t index);
    void cutFromStore(std::size_t index, bool cut);
    void cutWatches(std::size_t index, bool cut);
    void resetStoreCalls(std::size_t index, bool reset);

    /// \brief Delays the writes of an entry, which get no response; 0 for no delay.
    void delayStoreWrites(std::size_t index, Millis delay);

    /// \brief Sets the bandwidth of the link from the store to an entry's machine until the entry restarts; 0 for unlimited.
    void setStoreLink(std::size_t index, std::size_t bytesPerMs);

    /// \brief Sets the number of workers per core above which owners that start later have calls relayed; 0 for no relays.
    /// Small values have calls relayed from the first worker on.
    void setWorkersPerCore(double workersPerCore) { m_workersPerCore = workersPerCore; }

    /// \brief Sets the policies of entries that start later.
    void setPolicies(const jobs::Policies& policies) { m_policies = policies; }

    /// \brief Sets the evacuation bound of entries that start later; 0 for none.
    void setEvacuationTime(Millis time) { m_evacuationTime = time; }

    /// \returns The address of entry `index` for its peers.
    [[nodiscard]] std::string peerAddress(std::size_t index) const { return m_entries[index].name; }

    /// \brief Sets the data hall of an entry for its next start. Cuts affect its peer links and its calls to workers.
    void setDataHall(std::size_t index, const std::string& dataHall) { m_entries[index].dataHall = dataHall; }

    /// \brief Sets the core count of an entry's machine for its next start.
    void setCores(std::size_t index, double cores) { m_entries[index].cores = cores; }

    /// \returns The running entry that holds the ownership according to the store, or nullopt.
    [[nodiscard]] std::optional<std::size_t> owner() const;
    ///@}

    /// \name Operators and callers
    ///@{
    /// \param bytes Minimum size of the document.
    void configure(const jobs::ServiceConfiguration& configuration, std::size_t bytes = 0);
    void requestWave(const jobs::WaveRequest& wave);
    void evacuate(const std::string& dataHall, bool isRequested = true);

    /// \brief Submits a job and retries at random entries until the job is accepted.
    /// \param organisation Organisation of the caller's key; empty for a caller without a key.
    void submit(std::size_t index, const std::string& queue, const std::string& id, const jobs::JobSpec& spec, const std::string& organisation = {});
    void cancel(std::size_t index, const std::string& id);

    /// \returns Jobs whose acceptance a caller has received.
    [[nodiscard]] const std::set<std::string>& accepted() const noexcept { return m_accepted; }

    /// \returns The status that an entry reports; nullopt if it does not respond within two seconds.
    [[nodiscard]] std::optional<jobs::JobStatus> status(std::size_t index, const std::string& id);
    ///@}

    /// \returns The count of waiting jobs that an entry reports; nullopt if it has no count or does not respond within two seconds.
    [[nodiscard]] std::optional<std::uint64_t> pending(std::size_t index, const std::string& queue);

    /// \brief Requests the count of waiting jobs from an entry, and checks it when it arrives.
    void checkPending(std::size_t index, const std::string& queue);

    /// \brief Runs the clock until `condition` returns true or `time` has passed. \returns Whether the condition became true.
    bool waitFor(Millis time, const std::function<bool()>& condition);

private:
    struct Entry {
        std::string name;
        std::string holder; ///< Owner name of the current process.
        double cores = 0;
        std::string dataHall;
        std::unique_ptr<SimProcess> process;
        std::unique_ptr<StoreClient> storeClient;
        std::unique_ptr<WorkerClient> workerClient;
        std::unique_ptr<FleetClient> fleetClient;
        std::unique_ptr<PeerPort> port;
        std::unique_ptr<jobs::JobService> service;
    };

    /// Components of a killed entry, kept because pending events refer to them.
    struct KilledEntry {
        std::unique_ptr<SimProcess> process;
        std::unique_ptr<StoreClient> storeClient;
        std::unique_ptr<WorkerClient> workerClient;
        std::unique_ptr<FleetClient> fleetClient;
        std::unique_ptr<PeerPort> port;
        std::unique_ptr<jobs::JobService> service;
    };

    EventLog m_log;
    jobs::Policies m_policies;
    Millis m_evacuationTime { 0 };
    double m_workersPerCore = 0; ///< 0: owners call all workers directly.
    std::vector<Entry> m_entries;
    std::vector<KilledEntry> m_killed;
    std::set<std::string> m_accepted;
};

} // namespace lanemoor::model
