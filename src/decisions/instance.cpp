#include "lanemoor/decisions/instance.h"

#include <algorithm>

namespace lanemoor {

std::string_view domainOf(const Instance& instance, FailureDomain kind) noexcept
{
    switch (kind) {
    case FailureDomain::DataHall:
        return instance.dataHall;
    case FailureDomain::Rack:
        return instance.rack;
    case FailureDomain::Instance:
    case FailureDomain::None:
        break;
    }
    return instance.id;
}

const Instance* findInstance(const Instances& instances, std::string_view id) noexcept
{
    const auto before = [](const Instance& instance, std::string_view wanted) { return instance.id < wanted; };
    const auto found = std::lower_bound(instances.begin(), instances.end(), id, before);
    if (found == instances.end() || found->id != id)
        return nullptr;
    return &*found;
}

} // namespace lanemoor
