#pragma once
/// \file
/// Forecasts the processor time that arriving jobs will use. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/requirement.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace lanemoor::jobs {

/// \brief Tracks arrivals by queue and the ratio of observed to declared run times.
class LoadForecast {
public:
    /// \param extrapolatesRises Whether the newest arrivals weigh more and a rise is extrapolated.
    explicit LoadForecast(bool extrapolatesRises = true)
        : m_extrapolatesRises(extrapolatesRises)
    {
    }

    /// \brief Records a new job. Long-running steps are skipped: they count as running load.
    /// \param share Part of its work that may run at once, from 0 to 1: the rest waits regardless of free capacity.
    void noteArrival(const std::string& queue, const JobSpec& job, MonotonicInstant now, double share = 1);

    /// \brief Records refused submissions, of which only the sum of their work is known. Their callers retry.
    /// \param workMillis Declared work of all of them, in core milliseconds.
    void noteRefused(const std::string& queue, std::uint32_t count, std::uint64_t workMillis, MonotonicInstant now);

    /// \brief Records the run time of a task that succeeded.
    void noteRunTime(const std::string& queue, Millis declared, Millis observed);

    /// \returns Thousandths of a core that arrivals at the recent rate keep busy.
    [[nodiscard]] std::int64_t milliCpu(const std::string& queue, MonotonicInstant now) const;

    /// \returns The same by requirement class.
    [[nodiscard]] std::map<Requirement, std::int64_t> milliCpuByClass(const std::string& queue, MonotonicInstant now) const;

    /// \returns Observed run times as a multiple of declared ones.
    [[nodiscard]] double ratio(const std::string& queue) const;

private:
    struct Arrival {
        MonotonicInstant at;
        std::map<Requirement, double> work; ///< Thousandths of a core times declared seconds, by class.
    };

    void add(const std::string& queue, Arrival arrival);

    struct Queue {
        std::deque<Arrival> arrivals;
        double ratio = 1.0;
    };

    bool m_extrapolatesRises;
    std::map<std::string, Queue> m_queues;
};

} // namespace lanemoor::jobs
