#pragma once
/// \file
/// Limits how many workers are ejected at once. Pure.

#include "lanemoor/jobs/policy/worker_health.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

struct WorkerEntry;

/// State of a worker for the bound.
struct EjectionMember {
    const WorkerEntry* worker = nullptr;
    bool outOfService = false; ///< Ejected or probing.
    bool answering = true; ///< It answers calls.
};

/// A worker that its health score proposes for ejection.
struct EjectionCandidate {
    EjectionMember member;
    HealthFault fault = HealthFault::None;
    double score = 0;
};

/// Min instances that long-running steps need, by pool and label; an empty label means any instance of the pool.
using MinInstances = std::map<std::pair<std::string, std::string>, std::uint32_t>;

/// \brief Limits ejections per pool, rack and data hall, regardless of how many workers look faulty.
///
/// If many workers of one rack or data hall look faulty at once, the cause is rarely the workers. One worker of each group may
/// always be ejected, since the share of a small group would allow none.
///
/// \code
/// EjectionBound bound(options, members, minInstances);
/// for (const EjectionCandidate& candidate : bound.choose(candidates))
///     eject(candidate);
/// \endcode
class EjectionBound {
public:
    /// \param members All listed workers.
    EjectionBound(const WorkerHealthOptions& options, const std::vector<EjectionMember>& members, MinInstances minInstances);

    /// \returns The candidates that may be ejected, the worst ones first.
    [[nodiscard]] std::vector<EjectionCandidate> choose(std::vector<EjectionCandidate> candidates);

private:
    struct Group {
        std::uint32_t workers = 0;
        std::uint32_t outOfService = 0;
        std::uint32_t answering = 0;
    };

    using Domain = std::pair<std::string, std::string>; ///< Data hall and rack; an empty rack means the whole data hall.

    [[nodiscard]] bool admits(const EjectionCandidate& candidate) const;
    [[nodiscard]] bool leavesMinInstances(const EjectionMember& member) const;
    [[nodiscard]] bool isDomainUnresponsive(const Domain& domain, const EjectionMember& member) const;
    void count(const EjectionMember& member);
    void countEjected(const EjectionMember& member);

    WorkerHealthOptions m_options;
    MinInstances m_minInstances;
    std::map<std::string, Group> m_pools;
    std::map<Domain, Group> m_domains;
    std::map<std::pair<std::string, std::string>, std::uint32_t> m_serving; ///< Workers in service, by pool and label.
};

} // namespace lanemoor::jobs
