#pragma once
/// \file
/// How many workers may be left out at once. Pure.

#include "lanemoor/jobs/policy/worker_health.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lanemoor::jobs {

struct WorkerEntry;

/// A worker as the bound sees it.
struct EjectionMember {
    const WorkerEntry* worker = nullptr;
    bool out = false; ///< Ejected or probing.
    bool answering = true; ///< It takes work as far as its answers go.
};

/// A worker that should be left out.
struct EjectionCandidate {
    EjectionMember member;
    HealthFault fault = HealthFault::None;
    double score = 0;
};

/// Instances that long-running steps need, by pool and label; an empty label stands for any instance of the pool.
using LeastInstances = std::map<std::pair<std::string, std::string>, std::uint32_t>;

/// \brief Keeps the others of a pool, rack and data hall at work, however many of them look ill.
///
/// What makes many workers of one rack or hall look ill at a time is seldom the workers. Of each group one worker may always be left out,
/// since the share of a small group would allow none.
///
/// \code
/// EjectionBound bound(options, members, minInstances);
/// for (const EjectionCandidate& candidate : bound.choose(candidates))
///     eject(candidate);
/// \endcode
class EjectionBound {
public:
    /// \param members All listed workers.
    EjectionBound(const WorkerHealthOptions& options, const std::vector<EjectionMember>& members, LeastInstances least);

    /// \returns Those of the candidates that may be left out, the worst ones first.
    [[nodiscard]] std::vector<EjectionCandidate> choose(std::vector<EjectionCandidate> candidates);

private:
    struct Group {
        std::uint32_t workers = 0;
        std::uint32_t out = 0;
        std::uint32_t answering = 0;
    };

    using Domain = std::pair<std::string, std::string>; ///< Data hall and rack; an empty rack stands for the whole hall.

    [[nodiscard]] bool admits(const EjectionCandidate& candidate) const;
    [[nodiscard]] bool leavesEnough(const EjectionMember& member) const;
    [[nodiscard]] bool isAloneIn(const Domain& domain, const EjectionMember& member) const;
    void count(const EjectionMember& member);
    void take(const EjectionMember& member);

    WorkerHealthOptions m_options;
    LeastInstances m_least;
    std::map<std::string, Group> m_pools;
    std::map<Domain, Group> m_domains;
    std::map<std::pair<std::string, std::string>, std::uint32_t> m_serving; ///< Workers that are not out, by pool and label.
};

} // namespace lanemoor::jobs
