#pragma once
/// \file
/// Entry instances of the job service on the models of store, workers and instances.

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

/// \brief Documents for models: objects are handed over by key instead of text.
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

/// A promise that was broken, as seen from outside.
struct Breach {
    std::string rule;
    std::string detail;
};

/// \brief Watches workers and callers and checks the promises of the job service.
class JobWitness final : public WorkerWitness {
public:
    explicit JobWitness(const SimClock& clock)
        : m_clock(clock)
    {
    }

    std::function<void(const Breach&)> onBreach; ///< Null: nobody is told at once.
    std::function<std::vector<std::string>(const std::string& worker)> labelsOf; ///< Null: labels are not checked.
    std::function<std::string(const std::string& worker)> hallOf; ///< Null: evacuations are not checked.

    void noteSubmitted(const std::string& id, const jobs::JobSpec& spec, std::uint32_t maxAttempts);
    /// \brief Names the organisation whose quota a job counts for.
    void noteOrganisation(const std::string& id, const std::string& organisation) { m_organisations[id] = organisation; }

    /// \brief Notes a quota that operators set. One that is lowered holds once instances must have heard of it.
    void noteQuota(const std::string& organisation, const jobs::Resources& quota);
    /// \brief Notes that instances or the store are in trouble until `end` at the latest: what is bound in time only for instances
    /// that are in touch is not judged until they are again.
    void noteTrouble(MonotonicInstant end);
    void noteCancelSent(const std::string& id);
    void noteCancelled(const std::string& id);
    void noteWave(const jobs::WaveRequest& wave);
    /// \brief Notes that operators ask to evacuate a data hall, or take that back.
    void noteEvacuation(const std::string& dataHall, bool on);
    void onStart(const std::string& worker, const jobs::StartCommand& order, bool late) override;
    void onEnd(const std::string& worker, const jobs::Attempt& attempt, jobs::AttemptEnd end, const Departure& departure) override;
    void onDead(const std::string& worker, const jobs::Attempt& attempt, const Departure& departure) override;
    void onAct(const std::string& instance, const jobs::FleetHolder& holder) override;
    void onMaintenance(const std::string& instance, std::uint64_t wave, Millis time) override;
    void onStored(const std::string& worker, const jobs::EndedAttempt& ended) override;
    void onWorkerEnded(const std::string& worker, const jobs::Attempt& attempt) override;
    void onOverload(const std::string& worker, const jobs::Attempt& attempt) override;

    [[nodiscard]] const std::vector<Breach>& breaches() const noexcept { return m_breaches; }
    [[nodiscard]] const jobs::JobSpec* job(const std::string& id) const;
    [[nodiscard]] std::uint32_t maxAttempts(const std::string& id) const { return m_jobs.at(id).maxAttempts; }

    /// \returns Whether every task of the job has ended as a success.
    [[nodiscard]] bool hasSucceeded(const std::string& id) const;

    /// \returns Whether a job may be shown as failed: a task of it, or a gang, has failed as often as it may, or two
    /// workers have crashed under one of its tasks: the platform's owners ask no more before a task is given up.
    [[nodiscard]] bool mayHaveFailed(const std::string& id) const;

    /// \returns Workers that a task has ended.
    [[nodiscard]] std::uint32_t workersEndedBy(const std::string& id, const jobs::TaskId& task) const;

    /// \returns Where a task runs now; empty: nowhere.
    [[nodiscard]] std::string workerOf(const std::string& id, const jobs::TaskId& task) const;

    [[nodiscard]] std::uint64_t starts() const noexcept { return m_starts; }

private:
    using Task = std::pair<std::string, jobs::TaskId>;

    struct Job {
        jobs::JobSpec spec;
        std::uint32_t maxAttempts = 0;
        bool cancelSent = false;
        std::optional<MonotonicInstant> cancelledAt; ///< When the caller was told so.
    };

    void breach(const std::string& rule, const std::string& detail);
    void noteSuccess(const jobs::Attempt& attempt);
    void noteFailure(const jobs::Attempt& attempt);
    void leave(const std::string& worker, const jobs::Attempt& attempt);
    void noteDeparture(const jobs::Attempt& attempt, const Departure& departure);
    void checkBudget(const jobs::Attempt& attempt);
    void checkQuota(const jobs::Attempt& attempt, const jobs::StepSpec& step);

    const SimClock& m_clock;
    std::map<std::string, Job> m_jobs;
    std::map<Task, std::set<std::string>> m_running; ///< Workers, by task.
    std::set<Task> m_succeeded;
    std::set<Task> m_storedSuccess;
    std::map<Task, std::set<std::uint64_t>> m_storedFailures;
    std::map<Task, std::set<std::uint64_t>> m_failures; ///< Attempts; those of a gang stand with its first task.
    std::map<Task, std::uint32_t> m_workersEnded; ///< By a task.
    std::map<Task, std::uint32_t> m_workersCrashed; ///< Under a task, whatever ended them.
    MonotonicInstant m_inTouchFrom;
    std::map<Task, std::uint32_t> m_startsSince; ///< Of tasks that had ended as many workers as they may.
    std::map<Task, MonotonicInstant> m_takenByOrder; ///< Until at work again.
    std::map<std::string, std::pair<std::uint64_t, MonotonicInstant>> m_lastAct; ///< Epoch and time, by instance.
    std::map<std::uint64_t, std::uint32_t> m_mostAtOnce; ///< By wave.
    std::map<std::uint64_t, std::vector<MonotonicInstant>> m_backAt; ///< Of the instances taken down, by wave.
    std::map<std::string, MonotonicInstant> m_evacuatedSince; ///< By data hall.
    std::map<Task, MonotonicInstant> m_awaySince; ///< Long-running tasks that run nowhere.
    /// A quota, and until when it still counts beside the next one.
    struct Quota {
        jobs::Resources most;
        std::optional<MonotonicInstant> until;
    };

    std::map<std::string, std::string> m_organisations; ///< By job.
    std::map<std::string, std::vector<Quota>> m_quotas; ///< By organisation, in their order.
    std::uint64_t m_starts = 0;
    std::vector<Breach> m_breaches;
};

/// \brief A cluster in one process, on a simulated clock.
class JobCluster {
public:
    explicit JobCluster(std::uint64_t seed, std::size_t entries = 3);
    ~JobCluster();

    /// \name Parts
    ///@{
    std::mt19937_64 random;
    SimClock clock;
    StoreModel store;
    WorkersModel workers;
    PeersModel peers;
    ModelDocuments documents;
    JobWitness witness;
    ///@}

    /// \name Entry instances
    ///@{
    [[nodiscard]] std::size_t entries() const noexcept { return m_entries.size(); }
    [[nodiscard]] jobs::JobService& entry(std::size_t index) { return *m_entries[index].service; }
    [[nodiscard]] bool isUp(std::size_t index) const { return m_entries[index].service != nullptr; }
    /// \param silently Its peers hear nothing of it, as after a loss of power.
    void kill(std::size_t index, bool silently = false);
    void start(std::size_t index);
    void freeze(std::size_t index);
    void thaw(std::size_t index);
    void cutFromStore(std::size_t index, bool cut);
    void cutWatches(std::size_t index, bool cut);
    void resetStoreCalls(std::size_t index, bool reset);

    /// \brief Sets what the link of an entry's machine carries of the store's answers, until the entry starts again; 0: all at once.
    void setStoreLink(std::size_t index, std::size_t bytesPerMs);

    /// \brief Lets owners that start from now on have their calls relayed, from the first worker on
    /// or by as many as one machine's core carries.
    void relayAt(double workersPerCore) { m_workersPerCore = workersPerCore; }

    /// \brief Sets the policies of entries that start from now on.
    void setPolicies(const jobs::Policies& policies) { m_policies = policies; }

    /// \brief Sets the bound of evacuations of entries that start from now on; 0: none.
    void setEvacuationTime(Millis time) { m_evacuationTime = time; }

    /// \returns How other entries reach entry `index`.
    [[nodiscard]] std::string peerAddress(std::size_t index) const { return m_entries[index].name; }

    /// \brief Sets where an entry stands, for its next start. Cuts concern the links of entries and their calls to workers.
    void setDataHall(std::size_t index, const std::string& dataHall) { m_entries[index].dataHall = dataHall; }

    /// \brief Sets the processor time of an entry's machine, for its next start.
    void setCores(std::size_t index, double cores) { m_entries[index].cores = cores; }

    /// \returns The entry that holds the ownership by the store's word, or nothing.
    [[nodiscard]] std::optional<std::size_t> owner() const;
    ///@}

    /// \name Operators and callers
    ///@{
    /// \param bytes Least size of the document.
    void configure(const jobs::ServiceConfiguration& configuration, std::size_t bytes = 0);
    void askWave(const jobs::WaveRequest& wave);
    void evacuate(const std::string& dataHall, bool on = true);

    /// \brief Hands a job in and sends it again until it is accepted or refused.
    /// \param organisation Whose key the caller has; empty: none.
    void submit(std::size_t index, const std::string& queue, const std::string& id, const jobs::JobSpec& spec, const std::string& organisation = {});
    void cancel(std::size_t index, const std::string& id);

    /// \returns Jobs that a caller was told are kept.
    [[nodiscard]] const std::set<std::string>& accepted() const noexcept { return m_accepted; }

    /// \returns The status that an entry shows; nothing if it has no answer within two seconds.
    [[nodiscard]] std::optional<jobs::JobStatus> status(std::size_t index, const std::string& id);
    ///@}

    /// \returns The count of waiting jobs that an entry shows; nothing if it knows none or has no answer within two seconds.
    [[nodiscard]] std::optional<std::uint64_t> pending(std::size_t index, const std::string& queue);

    /// \brief Plays until `holds` or until `time` has passed. \returns Whether it held.
    bool waitFor(Millis time, const std::function<bool()>& holds);

private:
    struct Entry {
        std::string name;
        std::string holder; ///< The name of its present process as an owner.
        double cores = 0;
        std::string dataHall;
        std::unique_ptr<SimProcess> process;
        std::unique_ptr<StoreClient> storeClient;
        std::unique_ptr<WorkerClient> workerClient;
        std::unique_ptr<FleetClient> fleetClient;
        std::unique_ptr<PeerPort> port;
        std::unique_ptr<jobs::JobService> service;
    };

    /// Parts of killed entries: events under way still name them.
    struct Remains {
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
    double m_workersPerCore = 0; ///< 0: owners call every worker themselves.
    std::vector<Entry> m_entries;
    std::vector<Remains> m_remains;
    std::set<std::string> m_accepted;
};

} // namespace lanemoor::model
