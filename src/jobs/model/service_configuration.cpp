#include "lanemoor/jobs/model/service_configuration.h"

#include "lanemoor/net/http_message.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

template <typename Item>
const Item* findNamed(const std::vector<Item>& items, std::string_view name) noexcept
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const QueueSettings* ServiceConfiguration::queue(std::string_view name) const noexcept
{
    return findNamed(queues, name);
}

const PoolSettings* ServiceConfiguration::pool(std::string_view name) const noexcept
{
    return findNamed(pools, name);
}

const QueueSettings* ServiceConfiguration::queueFor(std::string_view host, std::string_view path) const noexcept
{
    const QueueSettings* best = nullptr;
    for (const QueueSettings& queue : queues) {
        if (!equalsIgnoringCase(queue.host, host) || path.substr(0, queue.pathPrefix.size()) != queue.pathPrefix)
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

std::string_view nameOf(WorkerEntryFault fault) noexcept
{
    switch (fault) {
    case WorkerEntryFault::None:
        return "none";
    case WorkerEntryFault::Unreadable:
        return "unreadable";
    case WorkerEntryFault::Address:
        return "address";
    case WorkerEntryFault::Location:
        return "pool-or-data-hall";
    case WorkerEntryFault::State:
        return "state";
    case WorkerEntryFault::Start:
        return "start";
    case WorkerEntryFault::Capacity:
        return "capacity";
    case WorkerEntryFault::WrongFieldType:
        return "field-of-another-type";
    }
    return "unknown";
}

} // namespace lanemoor::jobs
