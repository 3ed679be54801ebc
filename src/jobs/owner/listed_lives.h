#pragma once
/// \file
/// Which lives of workers the platform's lists of instances name.

#include "lanemoor/jobs/model/fleet_control.h"

#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace lanemoor::jobs {

struct ServiceConfiguration;

/// \brief One list of instances, judged by all earlier ones. Costs a constant time for each instance: lists come some times a second.
class ListedLives {
public:
    /// \brief Takes in a list. \param instances Must outlive the calls of `names`.
    void note(const std::vector<FleetInstance>& instances, const ServiceConfiguration& configuration);

    /// \returns Whether the list has all instances seen before and names the life of each that is up: a life that it does not name runs nowhere.
    [[nodiscard]] bool isComplete() const noexcept { return m_isComplete; }

    /// \returns Whether the list names the life.
    [[nodiscard]] bool names(std::string_view worker) const { return m_named.contains(worker); }

private:
    std::unordered_set<std::string> m_seen; ///< Instances, by the lists so far.
    std::unordered_set<std::string_view> m_named; ///< Into the list.
    bool m_isComplete = false;
};

} // namespace lanemoor::jobs
