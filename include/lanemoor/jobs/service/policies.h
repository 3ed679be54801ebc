#pragma once
/// \file
/// Options of all decision policies, for settings, experiments and ablations.

#include "lanemoor/jobs/intake/job_lookup.h"
#include "lanemoor/jobs/policy/admission_options.h"
#include "lanemoor/jobs/policy/capacity_plan.h"
#include "lanemoor/jobs/policy/crash_attribution.h"
#include "lanemoor/jobs/policy/failure_domains.h"
#include "lanemoor/jobs/policy/placement_options.h"
#include "lanemoor/jobs/policy/reachability.h"
#include "lanemoor/jobs/policy/worker_health.h"
#include "lanemoor/jobs/relay/relay_plan.h"
#include "lanemoor/jobs/store/store_outage_options.h"

namespace lanemoor::jobs {

/// \brief All policies of the job service.
struct Policies {
    AdmissionOptions admission;
    CapacityOptions capacity;
    PlacementOptions placement;
    CrashOptions crashes;
    JobLookupOptions lookup;
    RelayOptions relay;
    StoreOutageOptions storeOutages;
    WorkerHealthOptions workerHealth;
    ReachabilityOptions reachability;
    FailureDomainOptions failureDomains;

    [[nodiscard]] bool operator==(const Policies&) const = default;
};

} // namespace lanemoor::jobs
