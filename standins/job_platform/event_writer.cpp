#include "event_writer.h"

#include "lanemoor/decisions/time.h"

#include <iostream>

namespace lanemoor::standin {

void EventWriter::write(const char* event, nlohmann::json fields)
{
    fields["event"] = event;
    fields["at"] = currentInstant().time_since_epoch().count();
    std::cout << fields.dump() << std::endl;
}

} // namespace lanemoor::standin
