#pragma once
/// \file
/// Takes endpoints that fail their work out of the choice, and probes them back.

#include "lanemoor/decisions/ejection_backoff.h"
#include "lanemoor/decisions/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lanemoor {

/// \brief Judges endpoints by the ends of their requests. Pure: it is told the time.
///
/// An endpoint is ejected after a few failures in a row and let back for one probe
/// after a time that doubles with each ejection. Of a pool at least half of the
/// endpoints stay in the choice, however many fail.
class EjectionTracker {
public:
    /// \brief Learns that a request to `endpoint` of `pool` ended well.
    void onSuccess(const std::string& endpoint);

    /// \brief Learns that a request to `endpoint` failed.
    void onFailure(const std::string& endpoint, Instant now);

    /// \param members The endpoints of one pool.
    /// \returns Those to be left out at `now`; never more than half.
    [[nodiscard]] std::vector<std::string> ejected(const std::vector<std::string>& members, Instant now) const;

    /// \returns Every endpoint with enough failures in a row, probes included.
    [[nodiscard]] std::vector<std::string> failing() const;

private:
    struct Record {
        std::uint32_t failures = 0; ///< In a row.
        EjectionBackoff<Instant> backoff;
    };

    std::map<std::string, Record> m_records;
};

} // namespace lanemoor
