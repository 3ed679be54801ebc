#include "lanemoor/jobs/intake/caller_access.h"

#include "lanemoor/jobs/model/job_record.h"

#include <algorithm>

namespace lanemoor::jobs {

std::optional<Caller> identify(const ServiceConfiguration& configuration, const QueueSettings& queue, std::optional<std::string_view> key)
{
    const bool isOpen = queue.isPublic || configuration.organisations.empty();
    const OrganisationSettings* holder = key ? configuration.organisations.findByKey(ApiKeyDigest::of(*key)) : nullptr;
    if (!isOpen && !holder)
        return std::nullopt;
    return Caller { .queue = queue.name, .organisation = holder ? holder->name : std::string(), .isOpen = isOpen };
}

bool mayAccess(const Caller& caller, const JobRecord& job)
{
    if (job.organisation.empty() || job.organisation == caller.organisation)
        return true;
    return caller.isOpen && job.queue == caller.queue;
}

bool appliesTo(const CancelRecord& cancellation, const JobRecord& job)
{
    const auto hasAccess = [&job](const CancelRequester& requester) { return mayAccess({ .queue = requester.queue, .organisation = requester.organisation, .isOpen = requester.isOpen }, job); };
    return cancellation.isUnconditional() || std::any_of(cancellation.requesters.begin(), cancellation.requesters.end(), hasAccess);
}

CancelRequester requesterOf(const Caller& caller)
{
    return { .queue = caller.queue, .organisation = caller.organisation, .isOpen = caller.isOpen };
}

} // namespace lanemoor::jobs
