#pragma once
/// \file
/// Authentication of callers of a queue, and authorisation of their access to jobs.

#include "lanemoor/jobs/model/service_configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace lanemoor::jobs {

struct CancelRecord;
struct CancelRequester;
struct JobRecord;

/// A caller, authenticated against one version of the configuration.
struct Caller {
    std::string queue; ///< The queue called.
    std::string organisation; ///< Empty: unknown, since the queue requires no key.
    bool isOpen = false; ///< The queue requires no key.

    [[nodiscard]] bool operator==(const Caller&) const = default;
};

/// \brief Authenticates a call to `queue` against `configuration`.
///
/// Public queues and configurations without organisations require no key. A valid key that is sent anyway assigns the job to its
/// organisation.
/// \param key The key that the caller sent, if any.
/// \returns The caller, or nothing if a required key is missing or unknown.
[[nodiscard]] std::optional<Caller> identify(const ServiceConfiguration& configuration, const QueueSettings& queue, std::optional<std::string_view> key);

/// \returns Whether the caller may see, cancel and resubmit a job. Callers of a queue that requires a key have access to the jobs of
/// their organisation and to jobs without one. Callers of an open queue also have access to all jobs of that queue.
[[nodiscard]] bool mayAccess(const Caller& caller, const JobRecord& job);

/// \returns Whether the cancellation applies to a job.
[[nodiscard]] bool appliesTo(const CancelRecord& cancellation, const JobRecord& job);

/// \returns The stored form of a caller that cancels a job.
[[nodiscard]] CancelRequester requesterOf(const Caller& caller);

} // namespace lanemoor::jobs
