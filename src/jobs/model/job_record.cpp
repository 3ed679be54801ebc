#include "lanemoor/jobs/model/job_record.h"

#include "generated/jobs.pb.h"

namespace lanemoor::jobs {

namespace {

constexpr std::size_t bitsPerByte = 8;
constexpr std::string_view unconditionalCancel = "1"; // Also written by versions without requesters; no valid document.

Instant instantFrom(std::int64_t milliseconds)
{
    return Instant(Millis(milliseconds));
}

void writeStep(const StepSpec& step, wire::JobStep& out)
{
    out.set_count(step.count);
    out.set_milli_cpu(step.needs.milliCpu);
    out.set_memory_mb(step.needs.memoryMb);
    out.set_accelerators(step.needs.accelerators);
    out.set_estimate_ms(step.estimate.count());
    for (const std::uint32_t dependency : step.dependsOn)
        out.add_depends_on(dependency);
    out.set_checkpointing(step.checkpointing);
    out.set_gang(step.gang);
    out.set_same_rack(step.sameRack);
    out.set_required_label(step.requiredLabel);
    out.set_preferred_rack(step.preferredRack);
    out.set_most_per_instance(step.maxPerInstance);
    out.set_speculative(step.speculative);
    out.set_long_running(step.longRunning);
    out.set_image(step.image);
    out.set_latency_target_ms(step.latencyTarget.count());
    out.set_best_effort(step.bestEffort);
    out.set_disruption_budget(step.disruptionBudget);
}

StepSpec readStep(const wire::JobStep& in)
{
    StepSpec step;
    step.count = in.count();
    step.needs = { .milliCpu = in.milli_cpu(), .memoryMb = in.memory_mb(), .accelerators = in.accelerators() };
    step.estimate = Millis(in.estimate_ms());
    step.dependsOn.assign(in.depends_on().begin(), in.depends_on().end());
    step.checkpointing = in.checkpointing();
    step.gang = in.gang();
    step.sameRack = in.same_rack();
    step.requiredLabel = in.required_label();
    step.preferredRack = in.preferred_rack();
    step.maxPerInstance = in.most_per_instance();
    step.speculative = in.speculative();
    step.longRunning = in.long_running();
    step.image = in.image();
    step.latencyTarget = Millis(in.latency_target_ms());
    step.bestEffort = in.best_effort();
    step.disruptionBudget = in.disruption_budget();
    return step;
}

void writePolicy(const JobPolicy& policy, wire::JobPolicy& out)
{
    out.set_version(policy.version);
    out.set_priority(policy.priority);
    out.set_max_attempts(policy.maxAttempts);
    out.set_stretch(policy.stretch);
    out.set_latency_target_ms(policy.latencyTarget.count());
    if (!policy.advice)
        return;
    wire::AdvicePolicy& advice = *out.mutable_advice();
    advice.set_decision_ms(policy.advice->decisionTime.count());
    advice.set_per_worker_ms(policy.advice->timePerWorker.count());
    advice.set_validity_ms(policy.advice->validity.count());
}

JobPolicy readPolicy(const wire::JobPolicy& in)
{
    JobPolicy policy { .version = in.version(), .priority = in.priority(), .maxAttempts = in.max_attempts(), .stretch = in.stretch(), .latencyTarget = Millis(in.latency_target_ms()), .advice = std::nullopt };
    if (in.has_advice())
        policy.advice = AdvicePolicy { .decisionTime = Millis(in.advice().decision_ms()), .timePerWorker = Millis(in.advice().per_worker_ms()), .validity = Millis(in.advice().validity_ms()) };
    return policy;
}

std::string packBits(const std::vector<bool>& bits)
{
    std::string bytes((bits.size() + bitsPerByte - 1) / bitsPerByte, '\0');
    for (std::size_t i = 0; i < bits.size(); ++i) {
        if (bits[i])
            bytes[i / bitsPerByte] = static_cast<char>(bytes[i / bitsPerByte] | (1 << (i % bitsPerByte)));
    }
    return bytes;
}

std::vector<bool> unpackBits(const std::string& bytes)
{
    std::vector<bool> bits(bytes.size() * bitsPerByte);
    for (std::size_t i = 0; i < bits.size(); ++i)
        bits[i] = ((static_cast<unsigned char>(bytes[i / bitsPerByte]) >> (i % bitsPerByte)) & 1U) != 0;
    return bits;
}

template <typename Message>
bool parse(std::string_view bytes, Message& message)
{
    return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

std::string jobKey(std::string_view id)
{
    return std::string(jobKeyPrefix).append(id);
}

std::string progressKey(std::string_view id)
{
    return std::string(progressKeyPrefix).append(id);
}

std::string cancelKey(std::string_view id)
{
    return std::string(cancelKeyPrefix).append(id);
}

std::string waveKey(std::uint64_t wave)
{
    return std::string(ownerPrefix) + "wave/" + std::to_string(wave);
}

std::string encode(const std::set<std::string>& instances)
{
    wire::InstancesDocument document;
    for (const std::string& instance : instances)
        document.add_instances(instance);
    return document.SerializeAsString();
}

std::optional<std::set<std::string>> decodeInstances(std::string_view bytes)
{
    wire::InstancesDocument document;
    if (!parse(bytes, document))
        return std::nullopt;
    return std::set<std::string>(document.instances().begin(), document.instances().end());
}

std::string encodeActionAges(const std::map<std::string, Millis>& ages)
{
    wire::InstancesDocument document;
    for (const auto& [instance, age] : ages) {
        document.add_instances(instance);
        document.add_ages_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)));
    }
    return document.SerializeAsString();
}

std::optional<std::map<std::string, Millis>> decodeActionAges(std::string_view bytes)
{
    wire::InstancesDocument document;
    if (!parse(bytes, document))
        return std::nullopt;
    std::map<std::string, Millis> ages;
    for (int i = 0; i < document.instances_size(); ++i)
        ages[document.instances(i)] = i < document.ages_ms_size() ? Millis(document.ages_ms(i)) : Millis(0);
    return ages;
}

std::string encode(const JobRecord& record)
{
    wire::JobDocument document;
    document.set_queue(record.queue);
    document.set_pool(record.pool);
    document.set_accepted_at_ms(record.acceptedAt.time_since_epoch().count());
    document.set_payload(record.spec.payload);
    for (const StepSpec& step : record.spec.steps)
        writeStep(step, *document.add_steps());
    document.set_occurrences(record.spec.occurrences);
    document.set_first_start_ms(record.spec.firstStart.time_since_epoch().count());
    document.set_interval_ms(record.spec.interval.count());
    document.set_organisation(record.organisation);
    if (record.policy)
        writePolicy(*record.policy, *document.mutable_policy());
    return document.SerializeAsString();
}

std::optional<JobRecord> decodeJob(std::string_view bytes)
{
    wire::JobDocument document;
    if (!parse(bytes, document))
        return std::nullopt;
    JobRecord record;
    record.queue = document.queue();
    record.pool = document.pool();
    record.acceptedAt = instantFrom(document.accepted_at_ms());
    record.spec.payload = document.payload();
    for (const wire::JobStep& step : document.steps())
        record.spec.steps.push_back(readStep(step));
    record.spec.occurrences = document.occurrences();
    record.spec.firstStart = instantFrom(document.first_start_ms());
    record.spec.interval = Millis(document.interval_ms());
    record.organisation = document.organisation();
    if (document.has_policy())
        record.policy = readPolicy(document.policy());
    if (!isInRange(record.acceptedAt) || faultOf(record.spec) || (record.policy && !record.policy->isValid()))
        return std::nullopt;
    return record;
}

std::string encode(const ProgressRecord& record)
{
    wire::ProgressDocument document;
    document.set_status(static_cast<std::uint32_t>(record.status));
    document.set_start_planned(record.isStartPlanned);
    document.set_occurrences_done(record.occurrencesDone);
    if (record.policy)
        writePolicy(*record.policy, *document.mutable_policy());
    for (const auto& [id, bits] : record.succeeded) {
        wire::StepProgress& step = *document.add_steps();
        step.set_occurrence(id.occurrence);
        step.set_step(id.step);
        step.set_succeeded(packBits(bits));
    }
    for (const auto& [id, task] : record.tasks) {
        wire::TaskProgress& out = *document.add_tasks();
        out.set_occurrence(id.occurrence);
        out.set_step(id.step);
        out.set_index(id.index);
        for (const std::uint64_t attempt : task.failedAttempts)
            out.add_failed_attempts(attempt);
        out.set_checkpoint(task.checkpoint);
        out.set_confirmed_crashes(task.crashes.confirmed);
        out.set_unconfirmed_crashes(task.crashes.unconfirmed);
        for (const Probation& probation : task.probations) {
            wire::StartProbation& entry = *out.add_probations();
            entry.set_attempt(probation.attempt);
            entry.set_worker(probation.worker);
            entry.set_worker_started_at(probation.workerStartedAt);
            entry.set_acknowledged(probation.isAcknowledged);
            entry.set_silent(probation.isUnresponsive);
        }
        out.set_given_up(task.failedPermanently);
    }
    return document.SerializeAsString();
}

std::optional<ProgressRecord> decodeProgress(std::string_view bytes)
{
    wire::ProgressDocument document;
    if (!parse(bytes, document) || document.status() > static_cast<std::uint32_t>(JobStatus::Cancelled))
        return std::nullopt;
    ProgressRecord record;
    record.status = static_cast<JobStatus>(document.status());
    record.isStartPlanned = document.start_planned();
    record.occurrencesDone = document.occurrences_done();
    if (document.has_policy())
        record.policy = readPolicy(document.policy());
    for (const wire::StepProgress& step : document.steps())
        record.succeeded[{ step.occurrence(), step.step() }] = unpackBits(step.succeeded());
    for (const wire::TaskProgress& task : document.tasks()) {
        TaskRecord& out = record.tasks[{ task.occurrence(), task.step(), task.index() }];
        out.failedAttempts.assign(task.failed_attempts().begin(), task.failed_attempts().end());
        out.checkpoint = task.checkpoint();
        out.crashes = { .confirmed = task.confirmed_crashes(), .unconfirmed = task.unconfirmed_crashes() };
        for (const wire::StartProbation& probation : task.probations())
            out.probations.push_back({ .attempt = probation.attempt(), .worker = probation.worker(), .workerStartedAt = probation.worker_started_at(), .isAcknowledged = probation.acknowledged(), .isUnresponsive = probation.silent() });
        out.failedPermanently = task.given_up();
    }
    if (record.policy && !record.policy->isValid())
        return std::nullopt;
    return record;
}

std::string encode(const OwnerRecord& record)
{
    wire::OwnerDocument document;
    document.set_holder(record.holder);
    document.set_term(record.term);
    document.set_peer(record.peer);
    return document.SerializeAsString();
}

std::optional<OwnerRecord> decodeOwner(std::string_view bytes)
{
    wire::OwnerDocument document;
    if (!parse(bytes, document))
        return std::nullopt;
    return OwnerRecord { document.holder(), document.term(), document.peer() };
}

std::string encode(const QueueCounts& counts)
{
    wire::QueueCountsDocument document;
    document.set_counted_at_ms(counts.countedAt.time_since_epoch().count());
    for (const auto& [queue, pending] : counts.pending) {
        document.add_queues(queue);
        document.add_pending(pending);
    }
    return document.SerializeAsString();
}

std::string encode(const CancelRecord& record)
{
    if (record.isUnconditional())
        return std::string(unconditionalCancel);
    wire::CancelDocument document;
    for (const CancelRequester& requester : record.requesters) {
        wire::CancelRequester& out = *document.add_requesters();
        out.set_queue(requester.queue);
        out.set_organisation(requester.organisation);
        out.set_open(requester.isOpen);
    }
    return document.SerializeAsString();
}

CancelRecord decodeCancel(std::string_view bytes)
{
    wire::CancelDocument document;
    CancelRecord record;
    if (bytes == unconditionalCancel || !parse(bytes, document))
        return record;
    for (const wire::CancelRequester& requester : document.requesters())
        record.requesters.insert({ .queue = requester.queue(), .organisation = requester.organisation(), .isOpen = requester.open() });
    return record;
}

std::optional<QueueCounts> decodeQueueCounts(std::string_view bytes)
{
    wire::QueueCountsDocument document;
    if (!parse(bytes, document) || document.queues_size() != document.pending_size())
        return std::nullopt;
    QueueCounts counts { .countedAt = Instant(Millis(document.counted_at_ms())), .pending = {} };
    for (int i = 0; i < document.queues_size(); ++i)
        counts.pending[document.queues(i)] = document.pending(i);
    return counts;
}

} // namespace lanemoor::jobs
