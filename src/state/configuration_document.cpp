#include "lanemoor/state/configuration_document.h"

#include "lanemoor/state/time_text.h"

#include <algorithm>
#include <array>
#include <limits>

namespace lanemoor {

namespace {

constexpr std::int64_t maxInstances = 100'000;
constexpr std::int64_t maxWeight = 1'000'000;
constexpr std::int64_t maxPeriodDays = 3'650;
constexpr std::int64_t maxReturnMinutes = 7 * 24 * 60;

struct DomainName {
    std::string_view text;
    FailureDomain domain;
};

constexpr std::array<DomainName, 4> domainNames { {
    { .text = "none", .domain = FailureDomain::None },
    { .text = "instance", .domain = FailureDomain::Instance },
    { .text = "rack", .domain = FailureDomain::Rack },
    { .text = "dataHall", .domain = FailureDomain::DataHall },
} };

std::uint32_t narrowOr(std::optional<std::int64_t> value, std::uint32_t fallback) noexcept
{
    return value ? static_cast<std::uint32_t>(*value) : fallback;
}

FailureDomain readDomain(ObjectReader& reader, FailureDomain fallback)
{
    const std::optional<std::string> text = reader.string("survives");
    if (!text)
        return fallback;
    for (const DomainName& name : domainNames) {
        if (name.text == *text)
            return name.domain;
    }
    reader.fault(DocumentFaultCode::BadValue, "survives", "one of none, instance, rack, dataHall");
    return fallback;
}

AvailabilityBudget readBudget(ObjectReader& reader)
{
    AvailabilityBudget budget;
    budget.minimum = narrowOr(reader.integer("minimum", 0, maxInstances, true), 0);
    budget.survives = readDomain(reader, budget.survives);
    return budget;
}

std::uint32_t readMinuteOfWeek(ObjectReader& reader, const char* name)
{
    const std::optional<std::string> text = reader.string(name, true);
    const std::optional<std::uint32_t> minute = text ? parseMinuteOfWeek(*text) : std::nullopt;
    if (text && !minute)
        reader.fault(DocumentFaultCode::BadValue, name, "a day and time such as \"Mon 22:30\"");
    return minute.value_or(0);
}

Selector readSelector(ObjectReader& reader)
{
    const std::optional<std::string> text = reader.string("selector", true);
    if (!text)
        return {};
    SelectorParser parser;
    if (std::optional<Selector> selector = parser.parse(*text))
        return *selector;
    const SelectorFault fault = parser.lastFault().value_or(SelectorFault {});
    reader.fault(DocumentFaultCode::BadSelector, "selector", std::string(describe(fault.code)) + " at column " + std::to_string(fault.column) + " of the selector");
    return {};
}

std::string readName(ObjectReader& reader)
{
    const std::optional<std::string> name = reader.string("name", true);
    const auto isPlain = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'; };
    if (name && (name->empty() || !std::all_of(name->begin(), name->end(), isPlain)))
        reader.fault(DocumentFaultCode::BadValue, "name", "letters, digits, - and _");
    return name.value_or(std::string());
}

Pool readPool(ObjectReader& reader)
{
    Pool pool;
    pool.name = readName(reader);
    pool.selector = readSelector(reader);
    pool.priority = static_cast<std::int32_t>(reader.integer("priority", -1'000, 1'000).value_or(0));
    pool.wanted = narrowOr(reader.integer("wanted", 0, maxInstances), 0);
    reader.object(
        "budget", [&](ObjectReader& budget) { pool.budget = readBudget(budget); }, true);
    reader.objects("windows", [&](ObjectReader& window) {
        const std::uint32_t begin = readMinuteOfWeek(window, "begin");
        const std::uint32_t end = readMinuteOfWeek(window, "end");
        pool.windows.push_back({ .beginMinute = begin, .endMinute = end });
    });
    return pool;
}

Maintenance readMaintenance(ObjectReader& reader)
{
    Maintenance maintenance;
    maintenance.periodDays = narrowOr(reader.integer("periodDays", 1, maxPeriodDays), maintenance.periodDays);
    maintenance.returnMinutes = narrowOr(reader.integer("returnMinutes", 1, maxReturnMinutes), maintenance.returnMinutes);
    const std::optional<std::string> wave = reader.string("waveRequestedAt");
    const std::optional<Instant> instant = wave ? parseInstant(*wave) : std::nullopt;
    if (wave && !instant)
        reader.fault(DocumentFaultCode::BadValue, "waveRequestedAt", "an instant such as \"2026-12-02T06:00:00Z\"");
    maintenance.waveRequestedAt = instant.value_or(Instant {});
    return maintenance;
}

template <typename Named>
void sortByName(std::vector<Named>& all, const char* field, ObjectReader& reader)
{
    std::sort(all.begin(), all.end(), [](const Named& a, const Named& b) { return a.name < b.name; });
    const auto duplicate = std::adjacent_find(all.begin(), all.end(), [](const Named& a, const Named& b) { return a.name == b.name; });
    if (duplicate != all.end())
        reader.fault(DocumentFaultCode::DuplicateName, field, duplicate->name);
}

Configuration readConfiguration(ObjectReader& reader)
{
    Configuration configuration;
    configuration.changeId = reader.string("changeId").value_or(std::string());
    reader.objects("pools", [&](ObjectReader& pool) { configuration.pools.push_back(readPool(pool)); });
    reader.objects("teams", [&](ObjectReader& team) {
        const std::string name = readName(team);
        const std::uint32_t quota = narrowOr(team.integer("quota", 1, maxInstances, true), 1);
        configuration.teams.push_back({ .name = name, .quota = quota });
    });
    configuration.drains = reader.strings("drains");
    reader.object("weights", [&](ObjectReader& weights) {
        configuration.weights.moves = narrowOr(weights.integer("moves", 0, maxWeight), 1);
        configuration.weights.rollOut = narrowOr(weights.integer("rollOut", 0, maxWeight), 1);
    });
    reader.object("maintenance", [&](ObjectReader& maintenance) { configuration.maintenance = readMaintenance(maintenance); });
    reader.finish();
    sortByName(configuration.pools, "pools", reader);
    sortByName(configuration.teams, "teams", reader);
    std::sort(configuration.drains.begin(), configuration.drains.end());
    return configuration;
}

std::string_view nameOf(FailureDomain domain) noexcept
{
    const auto named = std::find_if(domainNames.begin(), domainNames.end(), [&](const DomainName& name) { return name.domain == domain; });
    return named->text;
}

nlohmann::json poolToJson(const Pool& pool)
{
    nlohmann::json json {
        { "name", pool.name },
        { "selector", pool.selector.text() },
        { "priority", pool.priority },
        { "wanted", pool.wanted },
        { "budget", { { "minimum", pool.budget.minimum }, { "survives", nameOf(pool.budget.survives) } } },
    };
    for (const MaintenanceWindow& window : pool.windows)
        json["windows"].push_back({ { "begin", formatMinuteOfWeek(window.beginMinute) }, { "end", formatMinuteOfWeek(window.endMinute) } });
    return json;
}

} // namespace

std::optional<Configuration> ConfigurationReader::read(std::string_view text, std::uint64_t revision)
{
    JsonDocument document;
    if (!document.parse(text)) {
        m_faults = document.faults();
        return std::nullopt;
    }
    ObjectReader reader(document, document.root(), {});
    Configuration configuration = readConfiguration(reader);
    configuration.revision = revision;
    m_faults = document.faults();
    if (!m_faults.empty())
        return std::nullopt;
    return configuration;
}

std::string formatConfiguration(const Configuration& configuration)
{
    nlohmann::json json {
        { "pools", nlohmann::json::array() },
        { "teams", nlohmann::json::array() },
        { "drains", configuration.drains },
        { "weights", { { "moves", configuration.weights.moves }, { "rollOut", configuration.weights.rollOut } } },
        { "maintenance", { { "periodDays", configuration.maintenance.periodDays }, { "returnMinutes", configuration.maintenance.returnMinutes } } },
    };
    for (const Pool& pool : configuration.pools)
        json["pools"].push_back(poolToJson(pool));
    for (const Team& team : configuration.teams)
        json["teams"].push_back({ { "name", team.name }, { "quota", team.quota } });
    if (!configuration.changeId.empty())
        json["changeId"] = configuration.changeId;
    if (configuration.maintenance.waveRequestedAt != Instant {})
        json["maintenance"]["waveRequestedAt"] = formatInstant(configuration.maintenance.waveRequestedAt);
    constexpr int indent = 2;
    return json.dump(indent);
}

} // namespace lanemoor
