#include "lanemoor/jobs/service/job_service_settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lanemoor::jobs {

namespace {

constexpr std::int64_t maxMillis = 3'600'000;

std::optional<HttpAddress> readAddress(ObjectReader& reader, const char* name, bool required)
{
    const std::optional<std::string> text = reader.string(name, required);
    if (!text || (text->empty() && !required))
        return std::nullopt;
    std::optional<HttpAddress> address = parseAddress(*text, 0);
    in_addr number {};
    if (!address || inet_pton(AF_INET, address->ip.c_str(), &number) != 1) {
        address.reset();
        reader.fault(DocumentFaultCode::BadValue, name, "an address such as 10.0.0.1:8080");
    }
    return address;
}

void readMillis(ObjectReader& reader, const char* name, std::int64_t minimum, Millis& time)
{
    if (const std::optional<std::int64_t> value = reader.integer(name, minimum, maxMillis))
        time = Millis(*value);
}

void readSeconds(ObjectReader& reader, const char* name, Millis& time)
{
    constexpr double maxSeconds = 3'600;
    constexpr double millisPerSecond = 1'000;
    if (const std::optional<double> value = reader.number(name, 0, maxSeconds))
        time = Millis(std::llround(*value * millisPerSecond));
}

void readTimes(ObjectReader& reader, JobServiceSettings& settings)
{
    constexpr std::int64_t minLease = 1'000; // Renewals of shorter leases would be late on a busy machine.
    readMillis(reader, "ownershipMs", minLease, settings.ownershipTime);
    Millis storeMinLease(0); // The shortest lease that the store grants.
    readMillis(reader, "leastLeaseMs", 0, storeMinLease);
    settings.ownershipTime = std::max(settings.ownershipTime, storeMinLease);
    readMillis(reader, "workerLeaseMs", minLease, settings.workerLeaseTime);
    readMillis(reader, "handoverMs", 0, settings.handover);
    constexpr std::int64_t minApplyTime = 1'000; // Several reads must fit into this time.
    readMillis(reader, "configurationApplyMs", minApplyTime, settings.configurationApplyTime);
    readMillis(reader, "evacuationMs", 0, settings.evacuationTime);
    readMillis(reader, "restoreMs", 0, settings.restoreTime);
    readMillis(reader, "configurationTrustMs", 0, settings.configurationTrust);
    readSeconds(reader, "maintenanceSeconds", settings.maintenanceTime);
    readSeconds(reader, "moveSeconds", settings.moveTime);
    readSeconds(reader, "stopGraceSeconds", settings.stopGrace);
    readSeconds(reader, "statusSeconds", settings.statusTime);
}

template <typename Size>
void readSize(ObjectReader& reader, const char* name, std::int64_t minimum, std::int64_t maximum, Size& size)
{
    if (const std::optional<std::int64_t> value = reader.integer(name, minimum, maximum))
        size = static_cast<Size>(*value);
}

void readLimits(ObjectReader& reader, ConnectionLimits& limits)
{
    constexpr std::int64_t minConnections = 8;
    constexpr std::int64_t maxConnections = 1'000'000;
    constexpr std::int64_t minBytes = 1'024;
    constexpr std::int64_t maxHeaderBytes = 1'048'576;
    constexpr std::int64_t maxBodyBytes = 1'073'741'824;
    constexpr std::int64_t minConnectionBytes = 1'048'576;
    constexpr std::int64_t maxConnectionBytes = 1'099'511'627'776;
    constexpr std::int64_t minTime = 100;
    readSize(reader, "connections", minConnections, maxConnections, limits.connections);
    readSize(reader, "connectionBytes", minConnectionBytes, maxConnectionBytes, limits.connectionBytes);
    readSize(reader, "headerBytes", minBytes, maxHeaderBytes, limits.headerBytes);
    readSize(reader, "bodyBytes", minBytes, maxBodyBytes, limits.bodyBytes);
    readSize(reader, "responseBytes", minBytes, maxBodyBytes, limits.responseBytes);
    readSize(reader, "peerLinks", minConnections, maxConnections, limits.peerLinks);
    readSize(reader, "allResponsesBytes", minConnectionBytes, maxConnectionBytes, limits.allResponsesBytes);
    readMillis(reader, "requestMs", minTime, limits.requestTime);
    readMillis(reader, "idleMs", minTime, limits.idleTime);
}

void readNumber(ObjectReader& reader, const char* name, double minimum, double maximum, double& number)
{
    if (const std::optional<double> value = reader.number(name, minimum, maximum))
        number = *value;
}

void readSwitch(ObjectReader& reader, const char* name, bool& isOn)
{
    if (const std::optional<bool> value = reader.boolean(name))
        isOn = *value;
}

void readWorkerHealth(ObjectReader& reader, WorkerHealthOptions& options)
{
    constexpr std::int64_t minBackoff = 100;
    constexpr double minLateFactor = 1.5; // Run times vary by half.
    constexpr double maxLateFactor = 1'000;
    readSwitch(reader, "enabled", options.enabled);
    readNumber(reader, "mostOfPool", 0, 1, options.maxShareOfPool);
    readNumber(reader, "mostOfDomain", 0, 1, options.maxShareOfDomain);
    readMillis(reader, "firstBackoffMs", minBackoff, options.firstBackoff);
    readMillis(reader, "longestBackoffMs", minBackoff, options.maxBackoff);
    readNumber(reader, "lateFactor", minLateFactor, maxLateFactor, options.lateFactor);
    if (options.maxBackoff < options.firstBackoff)
        reader.fault(DocumentFaultCode::BadValue, "longestBackoffMs", "not below firstBackoffMs");
}

constexpr double maxMargin = 10;
constexpr double maxFairnessGap = 1'000;

void readCapacity(ObjectReader& capacity, CapacityOptions& options)
{
    readNumber(capacity, "margin", 1, maxMargin, options.margin);
    readMillis(capacity, "demandMemoryMs", 0, options.demandMemory);
    readMillis(capacity, "idleBeforeOffMs", 0, options.idleBeforeOff);
    readSwitch(capacity, "sharesFairly", options.sharesFairly);
    readNumber(capacity, "fairnessGap", 0, maxFairnessGap, options.fairnessGap);
    readSwitch(capacity, "backlogApart", options.separatesBacklog);
    readSwitch(capacity, "seesRises", options.extrapolatesRises);
    readSwitch(capacity, "leastFirst", options.servesLeastCapacityFirst);
}

void readAdmission(ObjectReader& admission, AdmissionOptions& options)
{
    constexpr std::int64_t minPause = 50; // A grant for hundreds of entry instances costs a few ms.
    constexpr std::int64_t minMisses = 1;
    constexpr std::int64_t maxMisses = 1'000;
    readSwitch(admission, "enabled", options.enabled);
    readNumber(admission, "lateFactor", 1, maxMargin, options.lateFactor);
    readMillis(admission, "grantEveryMs", minPause, options.grantEvery);
    readMillis(admission, "grantValidityMs", minPause, options.grantValidity);
    readMillis(admission, "deficitMemoryMs", 0, options.deficitMemory);
    if (const std::optional<std::int64_t> misses = admission.integer("missesOfGroup", minMisses, maxMisses))
        options.missesOfGroup = static_cast<std::uint32_t>(*misses);
}

void readReachability(ObjectReader& reachability, ReachabilityOptions& options)
{
    constexpr std::int64_t minWorkers = 2; // A single unanswered worker may have crashed.
    constexpr std::int64_t maxWorkers = 100;
    constexpr std::int64_t minPause = 10; // Each retry is a call.
    readSwitch(reachability, "enabled", options.enabled);
    if (const std::optional<std::int64_t> count = reachability.integer("workersToDoubt", minWorkers, maxWorkers))
        options.unansweredWorkersThreshold = static_cast<std::uint32_t>(*count);
    readMillis(reachability, "evidenceLastsMs", minPause, options.evidenceLasts);
    readMillis(reachability, "answerLastsMs", minPause, options.answerLasts);
    readMillis(reachability, "firstRetryMs", minPause, options.firstRetry);
    readMillis(reachability, "longestRetryMs", minPause, options.maxRetryDelay);
}

void readFailureDomains(ObjectReader& domains, FailureDomainOptions& options)
{
    constexpr std::int64_t maxWorkers = 100'000;
    readSwitch(domains, "enabled", options.enabled);
    readMillis(domains, "lossWindowMs", 1, options.lossWindow);
    if (const std::optional<std::int64_t> count = domains.integer("leastStopped", 1, maxWorkers))
        options.minStopped = static_cast<std::uint32_t>(*count);
    readNumber(domains, "lostShare", 0, 1, options.lostShare);
    readMillis(domains, "returnStepMs", 0, options.returnStep);
    readNumber(domains, "returnShare", 0, 1, options.returnShare);
}

void readPolicies(ObjectReader& reader, Policies& policies)
{
    reader.object("capacity", [&](ObjectReader& capacity) { readCapacity(capacity, policies.capacity); });
    reader.object("admission", [&](ObjectReader& admission) { readAdmission(admission, policies.admission); });
    reader.object("relay", [&](ObjectReader& relay) {
        constexpr double maxWorkers = 100'000;
        constexpr double maxShrink = 100;
        readNumber(relay, "workersPerCore", 0, maxWorkers, policies.relay.workersPerCore);
        readNumber(relay, "shrinkAt", 1, maxShrink, policies.relay.shrinkAt);
    });
    reader.object("reachability", [&](ObjectReader& reachability) { readReachability(reachability, policies.reachability); });
    reader.object("lookup", [&](ObjectReader& lookup) { readSwitch(lookup, "readsThrough", policies.lookup.readsThrough); });
    reader.object("placement", [&](ObjectReader& placement) {
        readSwitch(placement, "waitsForRack", policies.placement.waitsForRack);
        readSwitch(placement, "hopelessLast", policies.placement.infeasibleLast);
        readNumber(placement, "hopelessShare", 0, maxMargin, policies.placement.infeasibleShare);
        readSwitch(placement, "beyondRateLast", policies.placement.beyondRateLast);
    });
    reader.object("storeOutages", [&](ObjectReader& outages) {
        constexpr double maxBurst = 10'000;
        readSwitch(outages, "enabled", policies.storeOutages.enabled);
        readNumber(outages, "hedgeShare", 0, 1, policies.storeOutages.hedgeShare);
        readNumber(outages, "hedgeBurst", 0, maxBurst, policies.storeOutages.hedgeBurst);
        readMillis(outages, "returnSpreadMs", 0, policies.storeOutages.returnSpread);
    });
    reader.object("failureDomains", [&](ObjectReader& domains) { readFailureDomains(domains, policies.failureDomains); });
    reader.object("workerHealth", [&](ObjectReader& health) { readWorkerHealth(health, policies.workerHealth); });
    reader.object("losses", [&](ObjectReader& losses) {
        constexpr std::int64_t minCrashes = 2; // Any task may see a single worker failure.
        readSwitch(losses, "keepsSuspectsApart", policies.crashes.isolatesSuspects);
        if (const std::optional<std::int64_t> count = losses.integer("lossesToGiveUp", minCrashes, maxCrashes))
            policies.crashes.crashesToFail = static_cast<std::uint32_t>(*count);
    });
}

JobServiceSettings readSettings(ObjectReader& reader)
{
    JobServiceSettings settings;
    settings.name = reader.string("name", true).value_or(std::string());
    settings.dataHall = reader.string("dataHall", true).value_or(std::string());
    reader.object(
        "jobService",
        [&](ObjectReader& service) {
            settings.front = readAddress(service, "front", true).value_or(HttpAddress {});
            settings.readiness = readAddress(service, "readiness", true).value_or(HttpAddress {});
            settings.metrics = readAddress(service, "metrics", false).value_or(HttpAddress {});
            settings.peers = readAddress(service, "peers", false);
            settings.store = readAddress(service, "store", true).value_or(HttpAddress {});
            settings.fleet = readAddress(service, "fleet", true).value_or(HttpAddress {});
            settings.advisor = readAddress(service, "advisor", false);
            constexpr double maxCores = 1'024;
            if (const std::optional<double> cores = service.number("machineCores", 0, maxCores))
                settings.machineCores = *cores;
            constexpr double maxFleetActions = 1'000'000;
            readNumber(service, "fleetActsPerSecond", 0, maxFleetActions, settings.fleetActsPerSecond);
            constexpr double maxFactor = 1'000;
            readNumber(service, "farFactor", 1, maxFactor, settings.policies.placement.farFactor);
            constexpr std::int64_t maxHalls = 1'000;
            if (const std::optional<std::int64_t> halls = service.integer("survivedDataHalls", 0, maxHalls))
                settings.survivedDataHalls = static_cast<std::uint32_t>(*halls);
            service.object("times", [&](ObjectReader& times) { readTimes(times, settings); });
            service.object("limits", [&](ObjectReader& limits) { readLimits(limits, settings.limits); });
            service.object("policies", [&](ObjectReader& policies) { readPolicies(policies, settings.policies); });
        },
        true);
    reader.object("log", [&](ObjectReader& log) {
        const std::string format = log.string("format").value_or("json");
        if (format != "json" && format != "text")
            log.fault(DocumentFaultCode::BadValue, "format", "json or text");
        settings.logAsJson = format == "json";
    });
    settings.policies.placement.spreadsOverHalls = settings.survivedDataHalls > 0 && settings.policies.failureDomains.enabled;
    reader.finish();
    return settings;
}

} // namespace

std::optional<JobServiceSettings> JobServiceSettingsReader::read(std::string_view text)
{
    JsonDocument document;
    if (!document.parse(text)) {
        m_faults = document.faults();
        return std::nullopt;
    }
    ObjectReader reader(document, document.root(), {});
    JobServiceSettings settings = readSettings(reader);
    m_faults = document.faults();
    if (!m_faults.empty())
        return std::nullopt;
    return settings;
}

bool isJobServiceSettings(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() && json.contains("jobService");
}

} // namespace lanemoor::jobs
