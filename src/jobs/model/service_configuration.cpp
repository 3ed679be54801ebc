#include "lanemoor/jobs/model/service_configuration.h"

#include "lanemoor/net/http_message.h"

#include <algorithm>
#include <set>

namespace lanemoor::jobs {

namespace {

constexpr std::size_t maxRemovedQueues = 1'000; // About 250 bytes each.

template <typename Item>
const Item* findNamed(const std::vector<Item>& items, std::string_view name) noexcept
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

JobPolicy QueueSettings::policy(std::uint64_t version) const
{
    return { .version = version, .priority = priority, .maxAttempts = std::max(maxAttempts, 1U), .stretch = std::clamp(stretch, 0.0, JobPolicy::maxStretch), .latencyTarget = latencyTarget, .advice = advice };
}

const QueueSettings* ServiceConfiguration::queue(std::string_view name) const noexcept
{
    return findNamed(queues, name);
}

std::optional<KnownQueue> ServiceConfiguration::lastKnownQueue(std::string_view name) const noexcept
{
    if (const QueueSettings* current = queue(name))
        return KnownQueue { .settings = current, .version = version };
    const auto removed = std::find_if(removedQueues.begin(), removedQueues.end(), [&](const RemovedQueue& known) { return known.settings.name == name; });
    return removed == removedQueues.end() ? std::nullopt : std::optional(KnownQueue { .settings = &removed->settings, .version = removed->version });
}

std::map<std::string_view, KnownQueue> ServiceConfiguration::lastKnownQueues() const
{
    std::map<std::string_view, KnownQueue> known;
    for (const QueueSettings& settings : queues)
        known.try_emplace(settings.name, KnownQueue { .settings = &settings, .version = version });
    for (const RemovedQueue& removed : removedQueues)
        known.try_emplace(removed.settings.name, KnownQueue { .settings = &removed.settings, .version = removed.version });
    return known;
}

void ServiceConfiguration::retainRemovedQueues(const ServiceConfiguration& previous)
{
    std::set<std::string_view> names;
    for (const QueueSettings& settings : queues)
        names.insert(settings.name);
    for (const RemovedQueue& removed : previous.removedQueues) {
        if (!names.contains(removed.settings.name))
            removedQueues.push_back(removed);
    }
    for (const QueueSettings& settings : previous.queues) {
        if (!names.contains(settings.name))
            removedQueues.push_back({ settings, previous.version });
    }
    if (removedQueues.size() > maxRemovedQueues)
        removedQueues.erase(removedQueues.begin(), removedQueues.end() - static_cast<std::ptrdiff_t>(maxRemovedQueues));
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
