#include "lanemoor/jobs/operator/operator_api.h"

#include "lanemoor/jobs/owner/evacuation_report.h"
#include "lanemoor/jobs/owner/job_report.h"
#include "lanemoor/jobs/service/job_service.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lanemoor::jobs {

namespace {

constexpr unsigned ok = 200;
constexpr unsigned notFound = 404;
constexpr unsigned notAllowed = 405;
constexpr unsigned unavailable = 503;
constexpr std::size_t maxJobsListed = 1'000; // About 100 bytes each.
constexpr std::string_view jobsPath = "/v1/jobs";
constexpr std::string_view organisationsPath = "/v1/organisations";
constexpr std::string_view evacuationsPath = "/v1/evacuations";
constexpr std::string_view instancesPath = "/v1/instances";

HttpResponse answer(std::string body, const char* type = "application/json")
{
    HttpResponse response { .status = ok, .headers = {}, .body = std::move(body) };
    response.headers.add("Content-Type", type);
    return response;
}

HttpResponse problem(unsigned status, std::string_view title)
{
    HttpResponse response { .status = status, .headers = {}, .body = nlohmann::json { { "title", title }, { "status", status } }.dump() };
    response.headers.add("Content-Type", "application/problem+json");
    return response;
}

/// \returns The `queue` parameter of the target's query, if any.
std::optional<std::string> queueParameter(std::string_view target)
{
    constexpr std::string_view name = "?queue=";
    const std::size_t found = target.find(name);
    if (found == std::string_view::npos)
        return std::nullopt;
    return std::string(target.substr(found + name.size()));
}

void listJobs(const JobService& service, std::string_view target, const std::function<void(HttpResponse)>& respond)
{
    std::vector<JobSummary> jobs = service.jobs(queueParameter(target), maxJobsListed + 1);
    const bool more = jobs.size() > maxJobsListed;
    jobs.resize(std::min(jobs.size(), maxJobsListed));
    respond(answer(formatJobs(jobs, more)));
}

void cancelJob(JobService& service, const std::string& id, std::function<void(HttpResponse)> respond)
{
    service.cancel(id, [respond = std::move(respond)](LookupOutcome outcome) {
        switch (outcome) {
        case LookupOutcome::Done:
            respond(answer("{}"));
            return;
        case LookupOutcome::NoSuchJob:
        case LookupOutcome::Foreign:
            respond(problem(notFound, "there is no such job"));
            return;
        case LookupOutcome::Unavailable:
            respond(problem(unavailable, "the store does not answer: try again"));
            return;
        }
    });
}

void serveJob(JobService& service, const std::string& id, const HttpRequest& request, std::function<void(HttpResponse)> respond)
{
    if (request.method == "DELETE") {
        cancelJob(service, id, std::move(respond));
        return;
    }
    if (request.method != "GET") {
        respond(problem(notAllowed, "a job can be read and cancelled"));
        return;
    }
    const std::optional<JobReport> report = service.job(id);
    respond(report ? answer(formatJob(*report)) : problem(notFound, "there is no such job"));
}

} // namespace

void answerOperator(JobService& service, const HttpRequest& request, std::function<void(HttpResponse)> respond)
{
    const std::string_view target = request.target;
    const std::string_view path = target.substr(0, target.find('?'));
    const std::string jobPrefix = std::string(jobsPath) + '/';
    if (path.compare(0, jobPrefix.size(), jobPrefix) == 0) {
        serveJob(service, std::string(path.substr(jobPrefix.size())), request, std::move(respond));
        return;
    }
    if (path != jobsPath && path != organisationsPath && path != evacuationsPath && path != instancesPath && path != "/v1/shards" && path != "/metrics")
        respond(problem(notFound, "there is no such page"));
    else if (request.method != "GET")
        respond(problem(notAllowed, "this can only be read"));
    else if (path == jobsPath)
        listJobs(service, target, respond);
    else if (path == organisationsPath)
        respond(answer(formatOrganisations(service.organisations())));
    else if (path == evacuationsPath)
        respond(answer(formatEvacuations(service.evacuations())));
    else if (path == instancesPath)
        respond(answer(formatWorkers(service.workers())));
    else if (path == "/metrics")
        respond(answer(service.metrics(), "text/plain; version=0.0.4"));
    else
        respond(answer(formatShards(service.shards())));
}

} // namespace lanemoor::jobs
