#include "demand_codec.h"

namespace lanemoor::jobs {

void addDemand(wire::RelayFrame& frame, const std::vector<EntryDemand>& demands)
{
    for (const EntryDemand& demand : demands) {
        wire::EntryDemand& message = *frame.add_demand();
        message.set_queue(demand.queue);
        message.set_organisation(demand.organisation);
        message.set_admitted(demand.admitted);
        message.set_refused(demand.refused);
        message.set_work_ms(demand.workMillis);
    }
}

std::vector<EntryDemand> demandOf(const wire::RelayFrame& frame)
{
    std::vector<EntryDemand> demands;
    demands.reserve(static_cast<std::size_t>(frame.demand_size()));
    for (const wire::EntryDemand& message : frame.demand())
        demands.push_back({ .queue = message.queue(), .organisation = message.organisation(), .admitted = message.admitted(), .refused = message.refused(), .workMillis = message.work_ms() });
    return demands;
}

} // namespace lanemoor::jobs
