#include "lanemoor/jobs/owner/job_report.h"

#include <nlohmann/json.hpp>

namespace lanemoor::jobs {

namespace {

using Json = nlohmann::ordered_json;

Json summary(const JobSummary& job)
{
    return { { "id", job.id }, { "queue", job.queue }, { "status", nameOf(job.status) }, { "steps", job.steps }, { "tasks", job.tasks } };
}

Json attempt(const AttemptReport& report)
{
    return { { "task", report.task }, { "attempt", report.attempt }, { "worker", report.worker }, { "phase", report.phase } };
}

Json wait(const StepWait& wait)
{
    return { { "tasks", wait.tasks }, { "workers", wait.workers }, { "open", wait.open }, { "withRoom", wait.withRoom }, { "belowSpread", wait.belowSpread }, { "label", wait.label }, { "labelled", wait.labelled },
        { "labelledWithRoom", wait.labelledWithRoom }, { "rack", wait.rack }, { "near", wait.near }, { "heldByQuotaOf", wait.heldByQuotaOf },
        { "needsAdvice", wait.needsAdvice }, { "asked", wait.asked }, { "allowed", wait.allowed } };
}

Json step(const StepReport& report)
{
    Json json { { "occurrence", report.occurrence }, { "step", report.step }, { "tasks", report.tasks }, { "succeeded", report.succeeded }, { "blocked", report.blocked } };
    json["attempts"] = Json::array();
    for (const AttemptReport& running : report.attempts)
        json["attempts"].push_back(attempt(running));
    json["suspects"] = Json::array();
    for (const SuspectReport& suspect : report.suspects)
        json["suspects"].push_back({ { "task", suspect.task }, { "workersLost", suspect.workersLost }, { "confirmedCrashes", suspect.confirmedCrashes }, { "givenUp", suspect.failedPermanently } });
    if (report.wait)
        json["wait"] = wait(*report.wait);
    json["closedHalls"] = Json::array();
    for (const ClosedHallReport& hall : report.closedHalls)
        json["closedHalls"].push_back({ { "dataHall", hall.dataHall }, { "state", hall.state }, { "tasks", hall.tasks } });
    return json;
}

} // namespace

std::string formatJobs(const std::vector<JobSummary>& jobs, bool more)
{
    Json list = Json::array();
    for (const JobSummary& job : jobs)
        list.push_back(summary(job));
    return Json { { "jobs", std::move(list) }, { "more", more } }.dump();
}

std::string formatJob(const JobReport& job)
{
    Json json = summary(job.job);
    json["pool"] = job.pool;
    json["cancelled"] = job.cancelled;
    json["ownedHere"] = job.ownedHere;
    json["owner"] = job.owner;
    json["steps"] = Json::array();
    for (const StepReport& report : job.steps)
        json["steps"].push_back(step(report));
    return json.dump();
}

std::string formatOrganisations(const OrganisationsReport& report)
{
    const auto resources = [](const Resources& from) { return Json { { "milliCpu", from.milliCpu }, { "memoryMb", from.memoryMb }, { "accelerators", from.accelerators } }; };
    Json list = Json::array();
    for (const OrganisationReport& organisation : report.organisations) {
        list.push_back({ { "name", organisation.name }, { "used", resources(organisation.used) }, { "quota", resources(organisation.quota) }, { "weight", organisation.weight }, { "heldTasks", organisation.heldTasks },
            { "beyondRate", organisation.beyondRate } });
    }
    return Json { { "ownedHere", report.ownedHere }, { "owner", report.owner }, { "organisations", std::move(list) } }.dump();
}

std::string formatWorkers(const WorkersReport& report)
{
    Json list = Json::array();
    for (const WorkerReport& worker : report.workers) {
        const WorkerHealthScore& health = worker.health;
        list.push_back({ { "id", worker.worker }, { "pool", worker.pool }, { "dataHall", worker.dataHall }, { "rack", worker.rack }, { "attempts", worker.attempts }, { "open", worker.open }, { "silent", worker.unresponsive },
            { "distrusted", worker.distrusted }, { "ejected", health.ejected }, { "probing", health.probing }, { "reason", nameOf(health.fault) }, { "score", health.score }, { "calls", health.evidence.calls }, { "unanswered", health.evidence.unanswered },
            { "ends", health.evidence.ends }, { "lateEnds", health.evidence.lateEnds }, { "failures", health.failures }, { "ejectedForMillis", worker.ejectedFor.count() } });
    }
    return Json { { "ownedHere", report.ownedHere }, { "owner", report.owner }, { "workers", std::move(list) } }.dump();
}

std::string formatShards(const std::vector<ShardReport>& shards)
{
    Json list = Json::array();
    for (const ShardReport& shard : shards)
        list.push_back({ { "shard", shard.shard }, { "owner", shard.owner }, { "term", shard.term }, { "ownedHere", shard.ownedHere }, { "copyAgeMillis", shard.replicaAgeMillis } });
    return Json { { "shards", std::move(list) } }.dump();
}

} // namespace lanemoor::jobs
