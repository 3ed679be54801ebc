#pragma once
/// \file
/// Settings of one process that runs the job service.

#include "lanemoor/decisions/time.h"
#include "lanemoor/jobs/service/policies.h"
#include "lanemoor/net/http_message.h"
#include "lanemoor/state/json_document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lanemoor::jobs {

/// Settings of the job service. They are read at the start and when the file is reloaded.
struct JobServiceSettings {
    std::string name; ///< Of this entry instance, unique among its peers.
    std::string dataHall;
    HttpAddress front; ///< For callers.
    HttpAddress readiness; ///< For the balancer.
    HttpAddress metrics; ///< For the collector of metrics; port 0: none.
    std::optional<HttpAddress> peers; ///< Where other instances reach this one; nothing: no calls are relayed.
    HttpAddress store;
    HttpAddress fleet;
    std::optional<HttpAddress> advisor; ///< Nothing: no queue needs advice.
    double machineCores = 0; ///< Of processor time that the machine gives; 0: not known.
    /// A lost owner's pools stand still this long. The least that the platform's store grants; a lease of 1.5 s
    /// cost 0.03 of the worth of days on which owners are lost.
    Millis ownershipTime { 1'000 };
    Millis workerLeaseTime { 5'000 }; ///< See WorkerSessionOptions.
    Millis handover { 3'000 }; ///< Between acts of two owners on instances; the platform's lease time.
    Millis maintenanceTime { 2'000 }; ///< Of one instance.
    Millis moveTime { 1'500 }; ///< Of one instance between pools.
    double fleetActsPerSecond = 0; ///< Acts on instances that the platform takes from all entry instances together; 0: no limit.
    Millis stopGrace { 6'000 }; ///< From the signal to stop until the process is killed.
    Millis statusTime { 120'000 }; ///< A finished job's status is kept this long.
    /// A shorter bound than `configurationApplyTime` on the age of the configuration, for callers that are let in by their keys; 0: none.
    Millis configurationTrust { 0 };
    /// A new configuration must be in force within this: beyond it nothing is decided by one that may have been replaced.
    Millis configurationApplyTime { 2'000 };
    Millis evacuationTime { 0 }; ///< No task may start in a data hall so long after the request to evacuate it; 0: no bound.
    std::uint32_t survivedDataHalls = 0; ///< Data halls whose loss must be survived; above 0 long-running tasks are spread over them.
    Millis restoreTime { 600 }; ///< Of a checkpoint, where a task goes on.
    Policies policies;
    bool logAsJson = true;

    [[nodiscard]] bool operator==(const JobServiceSettings&) const = default;
};

/// \brief Reads job service settings and checks them whole.
class JobServiceSettingsReader {
public:
    /// \returns The settings, or nothing if there is any fault at all.
    [[nodiscard]] std::optional<JobServiceSettings> read(std::string_view text);

    /// \returns All faults of the last `read`.
    [[nodiscard]] const std::vector<DocumentFault>& faults() const noexcept { return m_faults; }

private:
    std::vector<DocumentFault> m_faults;
};

/// \returns Whether `text` is settings of the job service rather than of the request service.
[[nodiscard]] bool isJobServiceSettings(std::string_view text);

} // namespace lanemoor::jobs
