#include "lanemoor/jobs/service/job_service_settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cmath>
#include <nlohmann/json.hpp>

namespace lanemoor::jobs {

namespace {

constexpr std::int64_t longestMillis = 3'600'000;

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

void readMillis(ObjectReader& reader, const char* name, std::int64_t least, Millis& time)
{
    if (const std::optional<std::int64_t> value = reader.integer(name, least, longestMillis))
        time = Millis(*value);
}

void readSeconds(ObjectReader& reader, const char* name, Millis& time)
{
    constexpr double longestSeconds = 3'600;
    constexpr double millisPerSecond = 1'000;
    if (const std::optional<double> value = reader.number(name, 0, longestSeconds))
        time = Millis(std::llround(*value * millisPerSecond));
}

void readTimes(ObjectReader& reader, JobServiceSettings& settings)
{
    constexpr std::int64_t leastLease = 1'000; // Renewals of shorter ones would be late on a busy machine.
    readMillis(reader, "ownershipMs", leastLease, settings.ownershipTime);
    Millis granted(0); // The shortest lease that the store grants.
    readMillis(reader, "leastLeaseMs", 0, granted);
    settings.ownershipTime = std::max(settings.ownershipTime, granted);
    readMillis(reader, "workerLeaseMs", leastLease, settings.workerLeaseTime);
    readMillis(reader, "handoverMs", 0, settings.handover);
    constexpr std::int64_t leastApplyTime = 1'000; // Some reads must fit into it.
    readMillis(reader, "configurationApplyMs", leastApplyTime, settings.configurationApplyTime);
    readMillis(reader, "configurationTrustMs", 0, settings.configurationTrust);
    readSeconds(reader, "maintenanceSeconds", settings.maintenanceTime);
    readSeconds(reader, "moveSeconds", settings.moveTime);
    readSeconds(reader, "stopGraceSeconds", settings.stopGrace);
    readSeconds(reader, "statusSeconds", settings.statusTime);
}

void readNumber(ObjectReader& reader, const char* name, double least, double most, double& number)
{
    if (const std::optional<double> value = reader.number(name, least, most))
        number = *value;
}

void readSwitch(ObjectReader& reader, const char* name, bool& isOn)
{
    if (const std::optional<bool> value = reader.boolean(name))
        isOn = *value;
}

void readPolicies(ObjectReader& reader, Policies& policies)
{
    constexpr double mostMargin = 10;
    constexpr double mostGap = 1'000;
    reader.object("capacity", [&](ObjectReader& capacity) {
        readNumber(capacity, "margin", 1, mostMargin, policies.capacity.margin);
        readMillis(capacity, "demandMemoryMs", 0, policies.capacity.demandMemory);
        readMillis(capacity, "idleBeforeOffMs", 0, policies.capacity.idleBeforeOff);
        readSwitch(capacity, "sharesFairly", policies.capacity.sharesFairly);
        readNumber(capacity, "fairnessGap", 0, mostGap, policies.capacity.fairnessGap);
        readSwitch(capacity, "backlogApart", policies.capacity.backlogApart);
        readSwitch(capacity, "seesRises", policies.capacity.seesRises);
        readSwitch(capacity, "leastFirst", policies.capacity.leastFirst);
    });
    reader.object("admission", [&](ObjectReader& admission) {
        constexpr std::int64_t leastPause = 50; // A grant for hundreds of entry instances costs some ms.
        constexpr std::int64_t fewestMisses = 1;
        constexpr std::int64_t mostMisses = 1'000;
        readSwitch(admission, "enabled", policies.admission.enabled);
        readNumber(admission, "lateFactor", 1, mostMargin, policies.admission.lateFactor);
        readMillis(admission, "grantEveryMs", leastPause, policies.admission.grantEvery);
        readMillis(admission, "grantValidityMs", leastPause, policies.admission.grantValidity);
        readMillis(admission, "deficitMemoryMs", 0, policies.admission.deficitMemory);
        if (const std::optional<std::int64_t> misses = admission.integer("missesOfGroup", fewestMisses, mostMisses))
            policies.admission.missesOfGroup = static_cast<std::uint32_t>(*misses);
    });
    reader.object("relay", [&](ObjectReader& relay) {
        constexpr double mostWorkers = 100'000;
        constexpr double mostShrink = 100;
        readNumber(relay, "workersPerCore", 0, mostWorkers, policies.relay.workersPerCore);
        readNumber(relay, "shrinkAt", 1, mostShrink, policies.relay.shrinkAt);
    });
    reader.object("lookup", [&](ObjectReader& lookup) { readSwitch(lookup, "readsThrough", policies.lookup.readsThrough); });
    reader.object("placement", [&](ObjectReader& placement) {
        readSwitch(placement, "waitsForRack", policies.placement.waitsForRack);
        readSwitch(placement, "hopelessLast", policies.placement.hopelessLast);
        readNumber(placement, "hopelessShare", 0, mostMargin, policies.placement.hopelessShare);
        readSwitch(placement, "beyondRateLast", policies.placement.beyondRateLast);
    });
    reader.object("losses", [&](ObjectReader& losses) {
        constexpr std::int64_t fewestLosses = 2; // One is what any task may meet.
        readSwitch(losses, "keepsSuspectsApart", policies.crashes.isolatesSuspects);
        if (const std::optional<std::int64_t> count = losses.integer("lossesToGiveUp", fewestLosses, maxCrashes))
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
            constexpr double mostCores = 1'024;
            if (const std::optional<double> cores = service.number("machineCores", 0, mostCores))
                settings.machineCores = *cores;
            constexpr double mostActs = 1'000'000;
            readNumber(service, "fleetActsPerSecond", 0, mostActs, settings.fleetActsPerSecond);
            constexpr double mostFactor = 1'000;
            readNumber(service, "farFactor", 1, mostFactor, settings.policies.placement.farFactor);
            service.object("times", [&](ObjectReader& times) { readTimes(times, settings); });
            service.object("policies", [&](ObjectReader& policies) { readPolicies(policies, settings.policies); });
        },
        true);
    reader.object("log", [&](ObjectReader& log) {
        const std::string format = log.string("format").value_or("json");
        if (format != "json" && format != "text")
            log.fault(DocumentFaultCode::BadValue, "format", "json or text");
        settings.logAsJson = format == "json";
    });
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
