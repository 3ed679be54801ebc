#pragma once
/// \file
/// What jobs that arrive as they do now will keep busy. Pure.

#include "lanemoor/jobs/model/event_loop.h"
#include "lanemoor/jobs/model/requirement.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace lanemoor::jobs {

/// \brief Arrivals by queue, and how long tasks really take against what callers declare.
class LoadForecast {
public:
    /// \param seesRises Whether the newest arrivals count more, and a rise is taken to go on.
    explicit LoadForecast(bool seesRises = true)
        : m_seesRises(seesRises)
    {
    }

    /// \brief Notes a new job. Long-running steps are left out: they show in what runs.
    /// \param share Of its work, what may run at once, from 0 to 1: the rest waits whatever room there is.
    void noteArrival(const std::string& queue, const JobSpec& job, MonotonicInstant now, double share = 1);

    /// \brief Notes submissions that were refused, of which only the sum of their work is known. Their callers come back.
    /// \param workMillis Declared work of all of them, in ms of one core.
    void noteRefused(const std::string& queue, std::uint32_t count, std::uint64_t workMillis, MonotonicInstant now);

    /// \brief Notes a task that succeeded.
    void noteRunTime(const std::string& queue, Millis declared, Millis observed);

    /// \returns Thousandths of a core that arrivals at the rate of the last moments keep busy.
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

    bool m_seesRises;
    std::map<std::string, Queue> m_queues;
};

} // namespace lanemoor::jobs
