#pragma once
/// \file
/// Small configurations and jobs for tests of the job service.

#include "standins/model/job_cluster.h"

#include <array>
#include <string>

namespace lanemoor::jobs::test {

/// \returns A configuration with queue `work` on pool `main`, and reserve pool `off`.
[[nodiscard]] inline ServiceConfiguration smallConfiguration(std::uint64_t version = 1)
{
    ServiceConfiguration configuration;
    configuration.version = version;
    configuration.queues.push_back({ .name = "work", .host = "h", .pathPrefix = "/q/", .pool = "main", .maxAttempts = 3, .stretch = 2.0, .latencyTarget = Millis(500), .advice = std::nullopt });
    configuration.pools.push_back({ .name = "main" });
    configuration.pools.push_back({ .name = "off", .reserve = true });
    return configuration;
}

/// \returns A step of `count` tasks of one core each.
[[nodiscard]] inline StepSpec step(std::uint32_t count, std::vector<std::uint32_t> dependsOn = {})
{
    return { .count = count, .needs = { .milliCpu = 1'000, .memoryMb = 100 }, .estimate = Millis(500), .dependsOn = std::move(dependsOn) };
}

/// \returns A step of long-running tasks, at most one per instance, with a disruption budget of one.
[[nodiscard]] inline StepSpec longStep(std::uint32_t count)
{
    StepSpec spec = step(count);
    spec.longRunning = true;
    spec.maxPerInstance = 1;
    spec.disruptionBudget = 1;
    return spec;
}

[[nodiscard]] inline JobSpec job(std::vector<StepSpec> steps)
{
    return { .payload = "do it", .steps = std::move(steps) };
}

/// \returns A 16-digit job id made from `number`.
[[nodiscard]] inline std::string jobId(std::uint64_t number)
{
    std::string id = std::to_string(number);
    return std::string(16 - id.size(), '0') + id;
}

/// \returns A configuration with queue `work` on pool `main`, queue `other` on pool `side`, and reserve pool `off`.
[[nodiscard]] inline ServiceConfiguration twoPools()
{
    ServiceConfiguration configuration = smallConfiguration(2);
    QueueSettings other = configuration.queues.front();
    other.name = "other";
    other.pathPrefix = "/o/";
    other.pool = "side";
    configuration.queues.push_back(other);
    configuration.pools.push_back({ .name = "side" });
    return configuration;
}

/// \returns `spec` with a required label.
[[nodiscard]] inline StepSpec labelled(StepSpec spec, const std::string& label)
{
    spec.requiredLabel = label;
    return spec;
}

/// Data halls that entries and instances are assigned to round-robin, in clusters of several data halls.
inline const std::array<std::string, 3> threeHalls { "hall-a", "hall-b", "hall-c" };

/// A cluster with `instances` in pool `main` and `reserve` in the reserve pool, four per rack.
struct SmallCluster : model::JobCluster {
    explicit SmallCluster(std::uint64_t seed = 1, std::size_t entries = 3, std::size_t instances = 4, std::size_t reserve = 2, double workersPerCore = 0, Millis evacuationTime = Millis(0), bool hasHalls = false)
        : model::JobCluster(seed, entries)
    {
        setWorkersPerCore(workersPerCore);
        setEvacuationTime(evacuationTime);
        workers.addReserve("off");
        for (std::size_t i = 0; i < instances + reserve; ++i)
            workers.addInstance("m-" + std::to_string(i), i < instances ? "main" : "off", "r-" + std::to_string(i / 4), { .milliCpu = 8'000, .memoryMb = 16'000 }, "a", hasHalls ? threeHalls.at(i % threeHalls.size()) : "hall");
        configure(smallConfiguration());
        for (std::size_t i = 0; hasHalls && i < entries; ++i)
            setDataHall(i, threeHalls.at(i % threeHalls.size()));
        for (std::size_t i = 0; i < entries; ++i)
            start(i);
        clock.runFor(Millis(1'000));
    }

    /// \returns Whether entry `index` reports status `expected` for the job.
    [[nodiscard]] bool shows(const std::string& id, JobStatus expected, std::size_t index = 0) { return status(index, id) == expected; }
};

} // namespace lanemoor::jobs::test
