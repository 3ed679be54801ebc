#pragma once
/// \file
/// Settings of a process of the job service.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/service/policies.h"
#include "lanemoor/net/http_message.h"
#include "lanemoor/state/json_document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// Limits on the connections of a process and on what is read from them.
struct ConnectionLimits {
    std::uint32_t connections = 1'500; ///< Open at once, of all clients at all addresses; well below the limit of descriptors.
    std::uint64_t connectionBytes = 33'554'432; ///< Memory of all these connections together; a fifth of the smallest entry's.
    std::uint32_t headerBytes = 16'384; ///< Of a request's header.
    std::uint64_t bodyBytes = 1'048'576; ///< Of a request's body.
    std::uint64_t responseBytes = 8'388'608; ///< Of the body of a response that this process reads; more than eight times the store's largest page.
    std::uint32_t peerLinks = 512; ///< Accepted links of other entry instances.
    std::uint64_t allResponsesBytes = 33'554'432; ///< Memory of all responses that are being read.
    Millis requestTime { 10'000 }; ///< From the first byte of a request to its last, and for the response to be taken.
    Millis idleTime { 75'000 }; ///< Between requests; longer than the pauses of the balancer's clients.

    [[nodiscard]] bool operator==(const ConnectionLimits&) const = default;
};

/// Settings of the job service, read at the start and when the file is reloaded.
struct JobServiceSettings {
    std::string name; ///< Of this entry instance; unique among its peers.
    std::string dataHall;
    HttpAddress front; ///< For callers.
    HttpAddress readiness; ///< For the load balancer.
    HttpAddress metrics; ///< For the metrics collector; port 0: disabled.
    std::optional<HttpAddress> peers; ///< For connections from other instances; nothing: no calls are relayed.
    HttpAddress store;
    HttpAddress fleet;
    std::optional<HttpAddress> advisor; ///< Nothing: no queue uses the placement advisor.
    double machineCores = 0; ///< Processor cores that are available to this process; 0: unknown.
    /// Lease of the ownership. Pools stall this long after an owner fails, so the default is the shortest lease that the
    /// platform's store grants; with 1.5 s, days with owner failures scored 0.03 lower.
    Millis ownershipTime { 1'000 };
    Millis workerLeaseTime { 5'000 }; ///< See WorkerSessionOptions.
    Millis handover { 3'000 }; ///< Min time between operations on instances by two owners; the platform's lease time.
    Millis maintenanceTime { 2'000 }; ///< Duration for one instance.
    Millis moveTime { 1'500 }; ///< Duration of the move of one instance between pools.
    double fleetActsPerSecond = 0; ///< Rate limit of the platform for operations on instances by all entry instances; 0: no limit.
    Millis stopGrace { 6'000 }; ///< From the stop signal until the process is killed.
    Millis statusTime { 120'000 }; ///< Retention of the status of a finished job.
    /// Max age of the configuration for callers that are admitted by their keys, if shorter than `configurationApplyTime`; 0: no such limit.
    Millis configurationTrust { 0 };
    /// Time within which a new configuration must be in force. A configuration that may have been replaced longer ago is not used.
    Millis configurationApplyTime { 2'000 };
    Millis evacuationTime { 0 }; ///< Time after an evacuation request from which no task may start in the data hall; 0: no bound.
    std::uint32_t survivedDataHalls = 0; ///< Data hall failures to survive; above 0, long-running tasks are spread over data halls.
    Millis restoreTime { 600 }; ///< Duration of the restore of a checkpoint.
    ConnectionLimits limits;
    Policies policies;
    bool logAsJson = true;

    [[nodiscard]] bool operator==(const JobServiceSettings&) const = default;
};

/// \brief Parses and validates settings of the job service.
class JobServiceSettingsReader {
public:
    /// \returns The settings, or nothing if there is any fault.
    [[nodiscard]] std::optional<JobServiceSettings> read(std::string_view text);

    /// \returns All faults of the last `read`.
    [[nodiscard]] const std::vector<DocumentFault>& faults() const noexcept { return m_faults; }

private:
    std::vector<DocumentFault> m_faults;
};

/// \returns Whether `text` holds settings of the job service rather than of the request service.
[[nodiscard]] bool isJobServiceSettings(std::string_view text);

} // namespace lanemoor::jobs
