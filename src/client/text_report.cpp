#include "lanemoor/client/text_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace lanemoor {

namespace {

using Json = nlohmann::ordered_json;

/// \returns `value` as text, with strings unquoted.
std::string toText(const Json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    if (value.is_null())
        return "-";
    return value.dump();
}

/// A text table with a title row.
class Table {
public:
    explicit Table(std::vector<std::string> titles) { add(std::move(titles)); }

    void add(std::vector<std::string> cells)
    {
        m_widths.resize(std::max(m_widths.size(), cells.size()));
        for (std::size_t i = 0; i < cells.size(); ++i)
            m_widths[i] = std::max(m_widths[i], cells[i].size());
        m_rows.push_back(std::move(cells));
    }

    [[nodiscard]] std::string text() const
    {
        std::string text;
        for (const std::vector<std::string>& row : m_rows) {
            std::string line;
            for (std::size_t i = 0; i < row.size(); ++i)
                line += row[i] + std::string(m_widths[i] - row[i].size() + 2, ' ');
            line.erase(line.find_last_not_of(' ') + 1);
            text += line + '\n';
        }
        text.pop_back();
        return text;
    }

private:
    std::vector<std::vector<std::string>> m_rows;
    std::vector<std::size_t> m_widths;
};

std::string keyValueText(const Json& json)
{
    std::string text;
    for (const auto& [key, value] : json.items())
        text += key + ": " + toText(value) + '\n';
    text.erase(text.find_last_not_of('\n') + 1);
    return text;
}

std::string conditionsText(const Json& conditions)
{
    std::string text;
    for (const Json& condition : conditions)
        text += (text.empty() ? "" : "; ") + toText(condition["text"]) + " (" + toText(condition["instances"]) + ')';
    return text;
}

/// \returns Why tasks of a step wait, according to the last placement pass.
std::string waitText(const Json& wait)
{
    if (const std::string held = wait.value("heldByQuotaOf", std::string()); !held.empty())
        return "    " + toText(wait["tasks"]) + " tasks wait: the quota of " + held + " is used up, see lanemoor organisations";
    std::string text = "    " + toText(wait["tasks"]) + " wait: of " + toText(wait["workers"]) + " workers " + toText(wait["open"]) + " take work, " + toText(wait["withRoom"]) + " of them have room";
    if (!wait.value("label", std::string()).empty())
        text += "; needs label " + toText(wait["label"]) + ": " + toText(wait["labelled"]) + " of them have it, " + toText(wait["labelledWithRoom"]) + " with room";
    if (!wait.value("rack", std::string()).empty())
        text += "; its data is in rack " + toText(wait["rack"]) + ", where " + toText(wait["near"]) + " of them are";
    if (wait.value("needsAdvice", false))
        text += "; needs a ticket of the placement advisor: " + toText(wait["asked"]) + " of them asked, " + toText(wait["allowed"]) + " may run it";
    if (wait["belowSpread"] != wait["workers"])
        text += ", " + toText(wait["belowSpread"]) + " run fewer tasks of the step than may share one";
    return text;
}

std::string stepText(const Json& step)
{
    std::string text = "  step " + toText(step["occurrence"]) + '/' + toText(step["step"]) + ": " + toText(step["succeeded"]) + " of " + toText(step["tasks"]) + " tasks succeeded";
    if (step["blocked"].get<bool>())
        text += ", blocked by a step it depends on";
    for (const Json& attempt : step["attempts"])
        text += "\n    task " + toText(attempt["task"]) + ", attempt " + toText(attempt["attempt"]) + ": " + toText(attempt["phase"]) + " on " + toText(attempt["worker"]);
    for (const Json& suspect : step.value("suspects", Json::array())) {
        text += "\n    task " + toText(suspect["task"]) + ": " + toText(suspect["workersLost"]) + " workers in a row were lost soon after they had started it";
        text += suspect["givenUp"].get<bool>() ? "; it was given up" : "";
        text += " (" + toText(suspect["confirmedCrashes"]) + " confirmed)";
    }
    if (step.contains("wait"))
        text += '\n' + waitText(step["wait"]);
    for (const Json& hall : step.value("closedHalls", Json::array()))
        text += "\n    data hall " + toText(hall["dataHall"]) + " is " + toText(hall["state"]) + ": nothing starts there; " + toText(hall["tasks"]) + " tasks of the step are there, see lanemoor evacuations";
    return text;
}

/// \returns A worker's health as reported by the job service.
std::string healthText(const Json& worker)
{
    const std::string reason = worker["reason"].get<std::string>();
    if (worker["ejected"].get<bool>())
        return "ejected for " + toText(worker["ejectedForMillis"]) + " ms: " + reason;
    if (worker["probing"].get<bool>())
        return "probing: " + reason;
    if (worker["silent"].get<bool>())
        return "silent";
    if (worker["distrusted"].get<bool>())
        return "starts unanswered";
    return reason == "none" ? "ok" : "beyond the bound: " + reason;
}

std::string workersText(const Json& json)
{
    if (!json["ownedHere"].get<bool>())
        return "the health of workers is known to the owner only: " + (json["owner"].get<std::string>().empty() ? std::string("nobody owns now") : toText(json["owner"]));
    Table table({ "INSTANCE", "POOL", "DATA HALL", "RACK", "ATTEMPTS", "OPEN", "HEALTH", "UNANSWERED", "LATE ENDS", "FAILURES" });
    for (const Json& worker : json["workers"]) {
        table.add({ toText(worker["id"]), toText(worker["pool"]), toText(worker["dataHall"]), toText(worker["rack"]), toText(worker["attempts"]), toText(worker["open"]), healthText(worker), toText(worker["unanswered"]) + " of " + toText(worker["calls"]),
            toText(worker["lateEnds"]) + " of " + toText(worker["ends"]), toText(worker["failures"]) });
    }
    return table.text();
}

} // namespace

std::string problemText(const std::string& body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("title"))
        return "the entry refused the call";
    std::string text = toText(json["title"]);
    for (const Json& fault : json.value("faults", Json::array()))
        text += "\n  " + toText(fault["line"]) + ':' + toText(fault["column"]) + ": " + toText(fault["field"]) + ": " + toText(fault["text"]) + " (" + toText(fault["detail"]) + ')';
    return text;
}

std::string acceptedText(const std::string& body)
{
    return "accepted as revision " + toText(Json::parse(body)["revision"]);
}

std::string poolsText(const std::string& body)
{
    const Json json = Json::parse(body);
    Table table({ "POOL", "MEMBERS", "TARGET", "IN SERVICE", "MINIMUM", "SLACK", "GRANTS", "CONDITIONS" });
    for (const Json& pool : json["pools"])
        table.add({ toText(pool["name"]), toText(pool["members"]), toText(pool["target"]), toText(pool["inService"]), toText(pool["minimum"]), toText(pool["slack"]), toText(pool["granted"]), conditionsText(pool["conditions"]) });
    return table.text() + "\nspare instances: " + toText(json["spare"]);
}

std::string instancesText(const std::string& body)
{
    Table table({ "INSTANCE", "POOL", "DATA HALL", "RACK", "STATE", "SERVES", "GRANT", "MAINTAINED AT" });
    const Json json = Json::parse(body);
    if (json.contains("workers"))
        return workersText(json);
    for (const Json& instance : json["instances"]) {
        const std::string grant = instance.contains("grant") ? toText(instance["grant"]["reason"]) + ", " + toText(instance["grant"]["phase"]) : "-";
        table.add({ toText(instance["id"]), toText(instance["pool"]), toText(instance.value("dataHall", Json())), toText(instance.value("rack", Json())), toText(instance["state"]), toText(instance["inService"]), grant, toText(instance["maintainedAt"]) });
    }
    return table.text();
}

std::string wavesText(const std::string& body)
{
    return keyValueText(Json::parse(body));
}

std::string statusText(const std::string& body)
{
    Json json = Json::parse(body);
    const Json peers = json["peers"];
    json.erase("peers");
    Table table({ "PEER", "ADDRESS", "REVISION", "LEDGER", "HEARD AT" });
    for (const Json& peer : peers)
        table.add({ toText(peer["name"]), toText(peer["address"]), toText(peer["configurationRevision"]), toText(peer["ledgerVersion"]), toText(peer["heardAt"]) });
    return keyValueText(json) + "\n\n" + table.text();
}

std::string instanceText(const std::string& body)
{
    return keyValueText(Json::parse(body));
}

std::string jobsText(const std::string& body)
{
    const Json json = Json::parse(body);
    Table table({ "JOB", "QUEUE", "STATUS", "STEPS", "TASKS" });
    for (const Json& job : json["jobs"])
        table.add({ toText(job["id"]), toText(job["queue"]), toText(job["status"]), toText(job["steps"]), toText(job["tasks"]) });
    return table.text() + (json["more"].get<bool>() ? "\n(there are more: name a queue)" : "");
}

std::string jobText(const std::string& body)
{
    Json json = Json::parse(body);
    const Json steps = json["steps"];
    const bool isOwnedHere = json["ownedHere"].get<bool>();
    json.erase("steps");
    std::string text = keyValueText(json);
    if (!isOwnedHere)
        return text + "\nsteps are known to the owner only, while the job is not over";
    for (const Json& step : steps)
        text += '\n' + stepText(step);
    return text;
}

std::string organisationsText(const std::string& body)
{
    const Json json = Json::parse(body);
    if (!json["ownedHere"].get<bool>())
        return "what organisations have running is known to the owner only: " + (json["owner"].get<std::string>().empty() ? std::string("nobody owns now") : toText(json["owner"]));
    const auto usedOfQuota = [](const Json& organisation, const char* resource) {
        const Json& limit = organisation["quota"][resource];
        return toText(organisation["used"][resource]) + " of " + (limit == 0 ? std::string("-") : toText(limit));
    };
    Table table({ "ORGANISATION", "MILLI CPU", "MEMORY MB", "ACCELERATORS", "WEIGHT", "HELD TASKS", "BEYOND RATE" });
    for (const Json& organisation : json["organisations"]) {
        table.add({ toText(organisation["name"]), usedOfQuota(organisation, "milliCpu"), usedOfQuota(organisation, "memoryMb"), usedOfQuota(organisation, "accelerators"), toText(organisation["weight"]), toText(organisation["heldTasks"]),
            toText(organisation["beyondRate"]) });
    }
    return table.text();
}

std::string evacuationsText(const std::string& body)
{
    const Json json = Json::parse(body);
    if (!json["ownedHere"].get<bool>())
        return "what remains in data halls is known to the owner only: " + (json["owner"].get<std::string>().empty() ? std::string("nobody owns now") : toText(json["owner"]));
    std::string text = "requests read " + toText(json["ageMillis"]) + " ms ago" + (json["confirmed"].get<bool>() ? "" : ": too old, nothing starts anywhere");
    if (json["halls"].empty())
        return text + "\nno data hall is evacuated or lost";
    Table table({ "DATA HALL", "STATE", "FOR MS", "POOL", "WORKERS", "BATCH", "LONG", "HELD BY BUDGET", "STOPPING", "UNREACHABLE", "EMPTY IN MS" });
    for (const Json& hall : json["halls"]) {
        const std::string emptyIn = toText(hall.value("emptyInMillis", Json()));
        if (hall["pools"].empty())
            table.add({ toText(hall["dataHall"]), toText(hall["state"]), toText(hall["forMillis"]), "-", "0", "0", "0", "0", "0", "0", emptyIn });
        for (const Json& pool : hall["pools"]) {
            table.add({ toText(hall["dataHall"]), toText(hall["state"]), toText(hall["forMillis"]), toText(pool["pool"]), toText(pool["workers"]), toText(pool["batchTasks"]), toText(pool["longTasks"]), toText(pool["heldByBudget"]), toText(pool["stopping"]), toText(pool["unreachable"]),
                emptyIn });
        }
    }
    return text + '\n' + table.text();
}

std::string shardsText(const std::string& body)
{
    const Json json = Json::parse(body);
    Table table({ "SHARD", "OWNER", "TERM", "HERE", "COPY AGE MS" });
    for (const Json& shard : json["shards"])
        table.add({ toText(shard["shard"]), shard["owner"].get<std::string>().empty() ? "-" : toText(shard["owner"]), toText(shard["term"]), toText(shard["ownedHere"]), toText(shard["copyAgeMillis"]) });
    return table.text();
}

std::string patchText(const std::string& patch)
{
    std::string text;
    const Json json = Json::parse(patch);
    for (const Json& change : json)
        text += toText(change["op"]) + ' ' + toText(change["path"]) + (change.contains("value") ? ' ' + change["value"].dump() : std::string()) + '\n';
    return text.empty() ? "no difference\n" : text;
}

} // namespace lanemoor
