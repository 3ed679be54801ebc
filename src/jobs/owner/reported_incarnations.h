#pragma once
/// \file
/// Worker incarnations that the platform's instance lists name.

#include "lanemoor/jobs/model/fleet_control.h"

#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace lanemoor::jobs {

struct ServiceConfiguration;

/// \brief The latest instance list, checked for completeness against all earlier lists. Constant time per instance, since lists
/// arrive several times a second.
class ReportedIncarnations {
public:
    /// \brief Replaces the current list. \param instances Must outlive all calls of `names`.
    void note(const std::vector<FleetInstance>& instances, const ServiceConfiguration& configuration);

    /// \returns Whether the list has all instances seen before and names the incarnation of each that is up. An incarnation that a
    /// complete list does not name runs nowhere.
    [[nodiscard]] bool isComplete() const noexcept { return m_isComplete; }

    /// \returns Whether the list names the incarnation.
    [[nodiscard]] bool names(std::string_view worker) const { return m_namedIncarnations.contains(worker); }

private:
    std::unordered_set<std::string> m_knownInstances; ///< Instances in any list so far.
    std::unordered_set<std::string_view> m_namedIncarnations; ///< Views into the current list.
    bool m_isComplete = false;
};

} // namespace lanemoor::jobs
