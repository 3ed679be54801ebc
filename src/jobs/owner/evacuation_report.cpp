#include "lanemoor/jobs/owner/evacuation_report.h"

#include <nlohmann/json.hpp>
#include <numeric>

namespace lanemoor::jobs {

namespace {

using Json = nlohmann::ordered_json;

Json poolJson(const HallPoolReport& pool)
{
    return { { "pool", pool.pool }, { "workers", pool.workers }, { "batchTasks", pool.batchTasks }, { "longTasks", pool.longTasks }, { "heldByBudget", pool.heldByBudget }, { "stopping", pool.stopping }, { "unreachable", pool.unreachable } };
}

Json hallJson(const HallReport& hall)
{
    Json json { { "dataHall", hall.dataHall }, { "state", nameOf(hall.state) }, { "forMillis", hall.forMillis }, { "tasks", hall.tasks() } };
    json["pools"] = Json::array();
    for (const HallPoolReport& pool : hall.pools)
        json["pools"].push_back(poolJson(pool));
    if (hall.emptyInMillis)
        json["emptyInMillis"] = *hall.emptyInMillis;
    return json;
}

} // namespace

std::uint32_t HallReport::tasks() const noexcept
{
    return std::accumulate(pools.begin(), pools.end(), 0U, [](std::uint32_t sum, const HallPoolReport& pool) { return sum + pool.tasks(); });
}

std::string formatEvacuations(const EvacuationsReport& report)
{
    Json json { { "ownedHere", report.ownedHere }, { "owner", report.owner }, { "confirmed", report.confirmed }, { "ageMillis", report.ageMillis } };
    json["halls"] = Json::array();
    for (const HallReport& hall : report.halls)
        json["halls"].push_back(hallJson(hall));
    return json.dump();
}

} // namespace lanemoor::jobs
