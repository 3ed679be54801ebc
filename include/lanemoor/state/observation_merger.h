#pragma once
/// \file
/// One view of the instances from what the list, the peers and the requests say.

#include "lanemoor/decisions/instance.h"
#include "lanemoor/decisions/ledger.h"
#include "lanemoor/decisions/time.h"

#include <map>
#include <set>
#include <string>

namespace lanemoor {

/// \brief Merges signs about instances. Pure: it is told the time.
///
/// The first sign that an instance leaves or fails counts, whatever its source. An
/// instance missing from the list counts as leaving at once and as gone only after a
/// while, so that a flapping list moves nothing.
class ObservationMerger {
public:
    /// \brief Takes a new answer of the instance list.
    void onList(Instances listed);

    /// \brief Takes what one source (an entry instance) says of failing and leaving instances.
    /// It replaces what the same source said before and lapses after a few seconds.
    void onSigns(const std::string& source, std::set<std::string> failing, std::set<std::string> leaving, Instant now);

    /// \returns Instances that the list itself shows as leaving.
    [[nodiscard]] std::set<std::string> listedLeaving() const;

    /// \param ledger Instances that stand in it and not in the list are missing ones.
    /// \returns The merged view, ordered by id.
    [[nodiscard]] Instances merge(const Ledger& ledger, Instant now);

private:
    struct Signs {
        std::set<std::string> failing;
        std::set<std::string> leaving;
        Instant lapsesAt;
    };

    void applySigns(Instance& instance, Instant now) const;
    void addMissing(const Ledger& ledger, Instant now, Instances& merged);
    void noteOutSince(Instance& instance, Instant now);

    Instances m_listed;
    std::map<std::string, Instance> m_lastSeen; ///< As last listed.
    std::map<std::string, Signs> m_signs;
    std::map<std::string, Instant> m_outSince;
    std::map<std::string, Instant> m_missingSince;
    bool m_haveList = false;
};

} // namespace lanemoor
