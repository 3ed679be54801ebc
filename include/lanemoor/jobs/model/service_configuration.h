#pragma once
/// \file
/// The operators' configuration of queues, pools and organisations; worker entries; maintenance waves.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/model/job_policy.h"
#include "lanemoor/jobs/model/job_spec.h"
#include "lanemoor/jobs/model/organisation.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

struct QueueSettings {
    std::string name;
    std::string host; ///< Callers address the queue by host and path prefix.
    std::string pathPrefix;
    std::string pool; ///< The pool whose instances run the queue's tasks.
    std::uint32_t priority = 0; ///< Lower values are served first.
    std::uint32_t maxAttempts = 1; ///< See JobPolicy.
    double stretch = 1.0; ///< See JobPolicy.
    Millis latencyTarget { 0 };
    std::optional<AdvicePolicy> advice;
    bool isPublic = false; ///< Callers need no key.

    /// \returns The policy of the queue's jobs, with values that are out of range replaced by the nearest valid ones.
    /// \param version Version of the configuration.
    [[nodiscard]] JobPolicy policy(std::uint64_t version) const;

    [[nodiscard]] bool operator==(const QueueSettings&) const = default;
};

struct PoolSettings {
    std::string name;
    bool reserve = false; ///< Its instances are switched off and cost nothing.
    bool enforcesCapacity = false; ///< Its workers reject starts that exceed their capacity.
    std::uint32_t maxConnections = 0; ///< Maximum number of connections to one worker from all entry instances; 0: no limit.

    [[nodiscard]] bool operator==(const PoolSettings&) const = default;
};

/// A queue that newer versions of the configuration lack.
struct RemovedQueue {
    QueueSettings settings;
    std::uint64_t version = 0; ///< The last known version with the queue.

    [[nodiscard]] bool operator==(const RemovedQueue&) const = default;
};

/// The settings of a queue by the newest known version of the configuration that has the queue.
struct KnownQueue {
    const QueueSettings* settings = nullptr; ///< Not null. Owned by the configuration that was asked.
    std::uint64_t version = 0; ///< The version that the settings are from.

    [[nodiscard]] JobPolicy policy() const { return settings->policy(version); }
};

/// One version of the configuration. Immutable once published.
struct ServiceConfiguration {
    std::uint64_t version = 0;
    std::vector<QueueSettings> queues;
    std::vector<RemovedQueue> removedQueues; ///< Queues of earlier versions, the latest removal last. Unfinished jobs of these queues keep running.
    std::vector<PoolSettings> pools;
    OrganisationTable organisations; ///< If empty, callers need no key and there are no quotas.
    std::uint64_t maxBodyBytes = 262'144; ///< Maximum size of a request body; 262'144 is the default.

    /// \returns The queue with `name`, or null. Null means that callers can't address it; its jobs may be unfinished.
    [[nodiscard]] const QueueSettings* queue(std::string_view name) const noexcept;

    /// \returns The queue with `name` of this version or, if it was removed, of the last known version with it; nothing: unknown.
    [[nodiscard]] std::optional<KnownQueue> lastKnownQueue(std::string_view name) const noexcept;

    /// \returns All queues of this version and the retained ones, by name. For looking up many queues.
    [[nodiscard]] std::map<std::string_view, KnownQueue> lastKnownQueues() const;

    /// \brief Retains the settings of queues that `previous` has or retains and this version lacks. Bounded: the earliest removals are
    /// dropped first.
    void retainRemovedQueues(const ServiceConfiguration& previous);

    /// \returns The pool with `name`, or null.
    [[nodiscard]] const PoolSettings* pool(std::string_view name) const noexcept;

    /// \returns The queue of `host` with the longest prefix of `path`, or null.
    [[nodiscard]] const QueueSettings* queueFor(std::string_view host, std::string_view path) const noexcept;

    [[nodiscard]] bool operator==(const ServiceConfiguration&) const = default;
};

/// A worker's self-description in the store.
struct WorkerEntry {
    std::string id; ///< Not unique: a later incarnation may have the same id.
    std::string address; ///< IP:port.
    std::string pool;
    std::string dataHall;
    Resources capacity;
    std::vector<std::string> labels;
    std::string rack; ///< Unique over all data halls; also one of the labels.
    bool draining = false; ///< The worker will end soon and accepts no new work.
    std::int64_t startedAt = 0; ///< Start time of this incarnation by its own wall clock, Unix ms; 0: not reported.

    [[nodiscard]] bool operator==(const WorkerEntry&) const = default;
};

/// Why a worker entry is rejected; entries may come from foreign writers.
enum class WorkerEntryFault {
    None,
    Unreadable, ///< Not a document in the workers' format.
    Address, ///< The address is missing, or is not an IP address with a port.
    Location, ///< The pool or the data hall is missing.
    State, ///< The state is missing or unknown.
    Capacity, ///< The capacity is missing or invalid.
    Start, ///< The start time is not an integer.
    WrongFieldType, ///< Another field has the wrong type.
};

/// \returns A short name of `fault` for logs.
[[nodiscard]] std::string_view nameOf(WorkerEntryFault fault) noexcept;

/// A maintenance wave requested by an operator.
struct WaveRequest {
    std::uint64_t number = 0;
    std::vector<std::string> instances; ///< Each instance is maintained once.
    Millis duration { 0 }; ///< Time from the request in which the wave must finish.
    std::uint32_t maxConcurrent = 1; ///< Maximum number of instances that are down for this wave at one time.

    /// \returns Whether the wave includes the instance.
    [[nodiscard]] bool contains(std::string_view instance) const { return std::find(instances.begin(), instances.end(), instance) != instances.end(); }

    [[nodiscard]] bool operator==(const WaveRequest&) const = default;
};

} // namespace lanemoor::jobs
