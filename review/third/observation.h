#pragma once
/// \file
/// What workers have run, from the stand-in's events.

#include "harness.h"

#include <set>

namespace lanemoor::review {

/// The time of day in ms since 1970, as the stand-in's events have it.
[[nodiscard]] std::int64_t nowMs();

/// \brief What the workers ran.
class Observation {
public:
    explicit Observation(const std::vector<Json>& events);

    /// \returns Number of starts of tasks of a job from `fromMs` on.
    [[nodiscard]] std::size_t startsOf(const std::string& job, std::int64_t fromMs = 0) const;

    /// \returns Instances of `pool` with a worker that is up at the end of the events.
    [[nodiscard]] std::set<std::string> upIn(const std::string& pool) const;

    /// \returns The most runs at once on workers of `instances` from `fromMs` on.
    [[nodiscard]] std::size_t mostRunning(const std::set<std::string>& instances, std::int64_t fromMs) const;

    /// \returns The longest time within the span in which no task of the job ran although it had started before, while at most `mostOthers` runs went on in all.
    [[nodiscard]] Millis longestIdle(const std::string& job, std::int64_t fromMs, std::int64_t untilMs, std::size_t mostOthers) const;

    /// \brief Writes the starts and ends of the runs.
    static void write(const std::vector<Json>& events, Record& record);

private:
    const std::vector<Json>& m_events;
};

/// \returns A small job that needs nothing special.
[[nodiscard]] Json soundJob();

/// \brief Hands small jobs in at queue `qa`, with ids from `firstId` on. \returns Whether all were accepted.
[[nodiscard]] bool submitSoundJobs(Cluster& cluster, std::uint64_t firstId, unsigned count, Millis gap);

/// \brief Runs small jobs of queue `qa` one after the other. \returns Whether all were accepted and done.
[[nodiscard]] bool runSoundJobs(Cluster& cluster, unsigned count);

/// \brief Follows a job that nothing may hold up: LOST holds at the time at which jobs are asked for.
/// \returns Whether the job had nothing running in the 3 s before that time, although the service's workers had room for it twice over and
/// under half of their capacity was in use.
[[nodiscard]] bool isForgotten(Cluster& cluster, Record& record, const std::string& queue, const std::string& job, const std::set<std::string>& suitable);

} // namespace lanemoor::review
