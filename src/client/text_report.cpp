#include "lanemoor/client/text_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace lanemoor {

namespace {

using Json = nlohmann::ordered_json;

/// \returns `value` as text, with strings unquoted.
std::string plain(const Json& value)
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
        text += key + ": " + plain(value) + '\n';
    text.erase(text.find_last_not_of('\n') + 1);
    return text;
}

std::string conditionsText(const Json& conditions)
{
    std::string text;
    for (const Json& condition : conditions)
        text += (text.empty() ? "" : "; ") + plain(condition["text"]) + " (" + plain(condition["instances"]) + ')';
    return text;
}

/// \returns Why tasks of a step wait, according to the last placement pass.
std::string waitText(const Json& wait)
{
    if (const std::string held = wait.value("heldByQuotaOf", std::string()); !held.empty())
        return "    " + plain(wait["tasks"]) + " tasks wait: the quota of " + held + " is used up, see lanemoor organisations";
    std::string text = "    " + plain(wait["tasks"]) + " wait: of " + plain(wait["workers"]) + " workers " + plain(wait["open"]) + " take work, " + plain(wait["withRoom"]) + " of them have room";
    if (!wait.value("label", std::string()).empty())
        text += "; needs label " + plain(wait["label"]) + ": " + plain(wait["labelled"]) + " of them have it, " + plain(wait["labelledWithRoom"]) + " with room";
    if (!wait.value("rack", std::string()).empty())
        text += "; its data is in rack " + plain(wait["rack"]) + ", where " + plain(wait["near"]) + " of them are";
    if (wait["belowSpread"] != wait["workers"])
        text += ", " + plain(wait["belowSpread"]) + " run fewer tasks of the step than may share one";
    return text;
}

std::string stepText(const Json& step)
{
    std::string text = "  step " + plain(step["occurrence"]) + '/' + plain(step["step"]) + ": " + plain(step["succeeded"]) + " of " + plain(step["tasks"]) + " tasks succeeded";
    if (step["blocked"].get<bool>())
        text += ", blocked by a step it depends on";
    for (const Json& attempt : step["attempts"])
        text += "\n    task " + plain(attempt["task"]) + ", attempt " + plain(attempt["attempt"]) + ": " + plain(attempt["phase"]) + " on " + plain(attempt["worker"]);
    for (const Json& suspect : step.value("suspects", Json::array())) {
        text += "\n    task " + plain(suspect["task"]) + ": " + plain(suspect["workersLost"]) + " workers in a row were lost soon after they had started it";
        text += suspect["givenUp"].get<bool>() ? "; it was given up" : "";
        text += " (" + plain(suspect["confirmedCrashes"]) + " confirmed)";
    }
    if (step.contains("wait"))
        text += '\n' + waitText(step["wait"]);
    for (const Json& hall : step.value("closedHalls", Json::array()))
        text += "\n    data hall " + plain(hall["dataHall"]) + " is " + plain(hall["state"]) + ": nothing starts there; " + plain(hall["tasks"]) + " tasks of the step are there, see lanemoor evacuations";
    return text;
}

/// \returns A worker's health as reported by the job service.
std::string healthText(const Json& worker)
{
    const std::string reason = worker["reason"].get<std::string>();
    if (worker["ejected"].get<bool>())
        return "ejected for " + plain(worker["ejectedForMillis"]) + " ms: " + reason;
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
        return "the health of workers is known to the owner only: " + (json["owner"].get<std::string>().empty() ? std::string("nobody owns now") : plain(json["owner"]));
    Table table({ "INSTANCE", "POOL", "DATA HALL", "RACK", "ATTEMPTS", "OPEN", "HEALTH", "UNANSWERED", "LATE ENDS", "FAILURES" });
    for (const Json& worker : json["workers"]) {
        table.add({ plain(worker["id"]), plain(worker["pool"]), plain(worker["dataHall"]), plain(worker["rack"]), plain(worker["attempts"]), plain(worker["open"]), healthText(worker), plain(worker["unanswered"]) + " of " + plain(worker["calls"]),
            plain(worker["lateEnds"]) + " of " + plain(worker["ends"]), plain(worker["failures"]) });
    }
    return table.text();
}

} // namespace

std::string problemText(const std::string& body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("title"))
        return "the entry refused the call";
    std::string text = plain(json["title"]);
    for (const Json& fault : json.value("faults", Json::array()))
        text += "\n  " + plain(fault["line"]) + ':' + plain(fault["column"]) + ": " + plain(fault["field"]) + ": " + plain(fault["text"]) + " (" + plain(fault["detail"]) + ')';
    return text;
}

std::string acceptedText(const std::string& body)
{
    return "accepted as revision " + plain(Json::parse(body)["revision"]);
}

std::string poolsText(const std::string& body)
{
    const Json json = Json::parse(body);
    Table table({ "POOL", "MEMBERS", "TARGET", "IN SERVICE", "MINIMUM", "SLACK", "GRANTS", "CONDITIONS" });
    for (const Json& pool : json["pools"])
        table.add({ plain(pool["name"]), plain(pool["members"]), plain(pool["target"]), plain(pool["inService"]), plain(pool["minimum"]), plain(pool["slack"]), plain(pool["granted"]), conditionsText(pool["conditions"]) });
    return table.text() + "\nspare instances: " + plain(json["spare"]);
}

std::string instancesText(const std::string& body)
{
    Table table({ "INSTANCE", "POOL", "DATA HALL", "RACK", "STATE", "SERVES", "GRANT", "MAINTAINED AT" });
    const Json json = Json::parse(body);
    if (json.contains("workers"))
        return workersText(json);
    for (const Json& instance : json["instances"]) {
        const std::string grant = instance.contains("grant") ? plain(instance["grant"]["reason"]) + ", " + plain(instance["grant"]["phase"]) : "-";
        table.add({ plain(instance["id"]), plain(instance["pool"]), plain(instance.value("dataHall", Json())), plain(instance.value("rack", Json())), plain(instance["state"]), plain(instance["inService"]), grant, plain(instance["maintainedAt"]) });
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
        table.add({ plain(peer["name"]), plain(peer["address"]), plain(peer["configurationRevision"]), plain(peer["ledgerVersion"]), plain(peer["heardAt"]) });
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
        table.add({ plain(job["id"]), plain(job["queue"]), plain(job["status"]), plain(job["steps"]), plain(job["tasks"]) });
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
        return "what organisations have running is known to the owner only: " + (json["owner"].get<std::string>().empty() ? std::string("nobody owns now") : plain(json["owner"]));
    const auto against = [](const Json& organisation, const char* resource) {
        const Json& limit = organisation["quota"][resource];
        return plain(organisation["used"][resource]) + " of " + (limit == 0 ? std::string("-") : plain(limit));
    };
    Table table({ "ORGANISATION", "MILLI CPU", "MEMORY MB", "ACCELERATORS", "WEIGHT", "HELD TASKS", "BEYOND RATE" });
    for (const Json& organisation : json["organisations"]) {
        table.add({ plain(organisation["name"]), against(organisation, "milliCpu"), against(organisation, "memoryMb"), against(organisation, "accelerators"), plain(organisation["weight"]), plain(organisation["heldTasks"]),
            plain(organisation["beyondRate"]) });
    }
    return table.text();
}

std::string evacuationsText(const std::string& body)
{
    const Json json = Json::parse(body);
    if (!json["ownedHere"].get<bool>())
        return "what remains in data halls is known to the owner only: " + (json["owner"].get<std::string>().empty() ? std::string("nobody owns now") : plain(json["owner"]));
    std::string text = "requests read " + plain(json["ageMillis"]) + " ms ago" + (json["confirmed"].get<bool>() ? "" : ": too old, nothing starts anywhere");
    if (json["halls"].empty())
        return text + "\nno data hall is evacuated or lost";
    Table table({ "DATA HALL", "STATE", "FOR MS", "POOL", "WORKERS", "BATCH", "LONG", "HELD BY BUDGET", "STOPPING", "UNREACHABLE", "EMPTY IN MS" });
    for (const Json& hall : json["halls"]) {
        const std::string emptyIn = plain(hall.value("emptyInMillis", Json()));
        if (hall["pools"].empty())
            table.add({ plain(hall["dataHall"]), plain(hall["state"]), plain(hall["forMillis"]), "-", "0", "0", "0", "0", "0", "0", emptyIn });
        for (const Json& pool : hall["pools"]) {
            table.add({ plain(hall["dataHall"]), plain(hall["state"]), plain(hall["forMillis"]), plain(pool["pool"]), plain(pool["workers"]), plain(pool["batchTasks"]), plain(pool["longTasks"]), plain(pool["heldByBudget"]), plain(pool["stopping"]), plain(pool["unreachable"]),
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
        table.add({ plain(shard["shard"]), shard["owner"].get<std::string>().empty() ? "-" : plain(shard["owner"]), plain(shard["term"]), plain(shard["ownedHere"]), plain(shard["copyAgeMillis"]) });
    return table.text();
}

std::string patchText(const std::string& patch)
{
    std::string text;
    const Json json = Json::parse(patch);
    for (const Json& change : json)
        text += plain(change["op"]) + ' ' + plain(change["path"]) + (change.contains("value") ? ' ' + change["value"].dump() : std::string()) + '\n';
    return text.empty() ? "no difference\n" : text;
}

} // namespace lanemoor
