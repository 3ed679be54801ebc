#include "lanemoor/jobs/model/store_condition.h"

namespace lanemoor::jobs {

std::string_view nameOf(StoreState state) noexcept
{
    switch (state) {
    case StoreState::Writing:
        return "writing";
    case StoreState::ReadingOnly:
        return "reading-only";
    case StoreState::Refused:
        return "refused";
    case StoreState::Unresponsive:
        return "silent";
    }
    return "unknown";
}

} // namespace lanemoor::jobs
