#include "lanemoor/decisions/configuration.h"

#include <algorithm>

namespace lanemoor {

namespace {

constexpr std::int64_t minutesPerWeek = 7 * 24 * 60;
/// The Unix epoch was a Thursday: three days after a Monday.
constexpr std::int64_t epochMinuteOfWeek = 3 * 24 * 60;

template <typename Named>
const Named* findByName(const std::vector<Named>& all, std::string_view name) noexcept
{
    const auto found = std::lower_bound(all.begin(), all.end(), name, [](const Named& one, std::string_view wanted) { return one.name < wanted; });
    if (found == all.end() || found->name != name)
        return nullptr;
    return &*found;
}

} // namespace

bool MaintenanceWindow::contains(Instant now) const noexcept
{
    const auto minutes = std::chrono::floor<std::chrono::minutes>(now).time_since_epoch().count();
    const auto minute = static_cast<std::uint32_t>((minutes + epochMinuteOfWeek) % minutesPerWeek);
    if (beginMinute < endMinute)
        return minute >= beginMinute && minute < endMinute;
    return minute >= beginMinute || minute < endMinute;
}

const Pool* Configuration::findPool(std::string_view name) const noexcept
{
    return findByName(pools, name);
}

const Team* Configuration::findTeam(std::string_view name) const noexcept
{
    return findByName(teams, name);
}

} // namespace lanemoor
