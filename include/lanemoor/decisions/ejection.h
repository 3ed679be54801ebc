#pragma once
/// \file
/// Outlier ejection: stops sending requests to failing endpoints and probes them later.

#include "lanemoor/decisions/ejection_backoff.h"
#include "lanemoor/decisions/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lanemoor {

/// \brief Tracks the results of requests per endpoint. Pure: the caller passes the time.
///
/// An endpoint is ejected after three consecutive failures. After a pause it gets requests
/// again, and a single failure ejects it again. The pause doubles with each ejection. At most
/// half of a pool's endpoints are ejected at once, even if more of them fail.
class EjectionTracker {
public:
    /// \brief Records that a request to `endpoint` succeeded.
    void onSuccess(const std::string& endpoint);

    /// \brief Records that a request to `endpoint` failed.
    void onFailure(const std::string& endpoint, Instant now);

    /// \param members The endpoints of one pool.
    /// \returns The members ejected at `now`, at most half of them.
    [[nodiscard]] std::vector<std::string> ejected(const std::vector<std::string>& members, Instant now) const;

    /// \returns Every endpoint with enough consecutive failures to be ejected, including
    /// those whose pause has ended.
    [[nodiscard]] std::vector<std::string> failing() const;

private:
    struct Record {
        std::uint32_t failures = 0; ///< Consecutive.
        EjectionBackoff<Instant> backoff;
    };

    std::map<std::string, Record> m_records;
};

} // namespace lanemoor
