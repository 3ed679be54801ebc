#pragma once
/// \file
/// Merges the instance list with the reports of entry instances into one view.

#include "lanemoor/decisions/instance.h"
#include "lanemoor/decisions/ledger.h"
#include "lanemoor/decisions/time.h"

#include <map>
#include <set>
#include <string>

namespace lanemoor {

/// \brief Merges observations of instances. Pure: the caller passes the time.
///
/// An instance counts as leaving or failing as soon as any source reports it. An instance
/// missing from the list counts as leaving immediately but as gone only after 60 seconds,
/// so that a flapping list causes no moves.
class ObservationMerger {
public:
    /// \brief Replaces the instance list.
    void onList(Instances listed);

    /// \brief Records the failing and leaving instances that one source (an entry instance)
    /// reports. A report replaces the previous one of that source and expires after 5 seconds.
    void onReport(const std::string& source, std::set<std::string> failing, std::set<std::string> leaving, Instant now);

    /// \returns Instances that are leaving according to the list itself.
    [[nodiscard]] std::set<std::string> listedLeaving() const;

    /// \param ledger Instances in it that are not in the list count as missing.
    /// \returns The merged view, ordered by id.
    [[nodiscard]] Instances merge(const Ledger& ledger, Instant now);

private:
    struct InstanceReport {
        std::set<std::string> failing;
        std::set<std::string> leaving;
        Instant expiresAt;
    };

    void applyReports(Instance& instance, Instant now) const;
    void addMissing(const Ledger& ledger, Instant now, Instances& merged);
    void updateUnhealthySince(Instance& instance, Instant now);

    Instances m_listed;
    std::map<std::string, Instance> m_lastSeen; ///< Latest list entry of each instance.
    std::map<std::string, InstanceReport> m_reports;
    std::map<std::string, Instant> m_unhealthySince;
    std::map<std::string, Instant> m_missingSince;
    bool m_hasList = false;
};

} // namespace lanemoor
