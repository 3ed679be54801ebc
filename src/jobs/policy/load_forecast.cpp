#include "lanemoor/jobs/policy/load_forecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace lanemoor::jobs {

namespace {

using Seconds = std::chrono::duration<double>;

/// Long enough for several arrivals at ten per second, short against the 1.5 s of a move.
constexpr Seconds arrivalWindow { 0.7 };
/// A queue's load rises from a twentieth to five times its mean within a second. At hundreds of arrivals per second, a smaller
/// sample shows the new rate sooner: this many estimate it to within a fifth. The window is never shorter than the time over
/// which jobs arrive in batches.
constexpr std::size_t sufficientArrivals = 24;
constexpr Seconds minWindow { 0.2 };
/// A rise continues while instances are moving, which takes 1.5 s and more: a rate that grew within the window by more than
/// chance explains is extrapolated at the same growth. On the large deployment a rise from a twentieth to the peak took 1.3 s;
/// excess capacity is idle only briefly.
constexpr double significantDeviations = 2.0; // Standard deviations of the difference of two counts.
constexpr double maxGrowth = 2.5;
constexpr std::uint32_t maxRefusedPerReport = 64; // Further ones in one report are merged: the rate is accurate with `sufficientArrivals`.
constexpr double newestWeight = 0.05; // Of one task in the running mean of ratios.
constexpr double maxRatio = 10.0; // Limits the effect of one task on a slow worker.

/// \returns Factor by which the rate is likely to grow soon, from the arrivals in the older and the newer half of the window.
double growthOf(std::size_t older, std::size_t newer)
{
    const auto before = static_cast<double>(older);
    const auto now = static_cast<double>(newer);
    if (newer < sufficientArrivals || now - before <= significantDeviations * std::sqrt(now + before))
        return 1;
    return std::min(now / std::max(before, 1.0), maxGrowth);
}

std::map<Requirement, double> workOf(const JobSpec& job, double share)
{
    std::map<Requirement, double> work;
    for (const StepSpec& step : job.steps) {
        if (step.longRunning)
            continue;
        for (const Requirement& requirement : requirementsOf(step))
            work[requirement] += share * static_cast<double>(step.count) * static_cast<double>(step.needs.milliCpu) * std::chrono::duration<double>(step.estimate).count();
    }
    return work;
}

} // namespace

void LoadForecast::noteArrival(const std::string& queue, const JobSpec& job, MonotonicInstant now, double share)
{
    if (job.occurrences == 0)
        add(queue, { now, workOf(job, share) });
}

void LoadForecast::noteRefused(const std::string& queue, std::uint32_t count, std::uint64_t workMillis, MonotonicInstant now)
{
    if (count == 0)
        return;
    // One core millisecond equals one second of a thousandth of a core.
    const double work = static_cast<double>(workMillis) / count;
    for (std::uint32_t i = 0; i < std::min(count, maxRefusedPerReport); ++i)
        add(queue, { now, { { Requirement {}, work * count / std::min(count, maxRefusedPerReport) } } });
}

void LoadForecast::add(const std::string& queue, Arrival arrival)
{
    std::deque<Arrival>& arrivals = m_queues[queue].arrivals;
    while (!arrivals.empty() && arrival.at - arrivals.front().at > arrivalWindow)
        arrivals.pop_front();
    arrivals.push_back(std::move(arrival));
}

void LoadForecast::noteRunTime(const std::string& queue, Millis declared, Millis observed)
{
    if (declared.count() <= 0)
        return;
    const double ratio = std::min(static_cast<double>(observed.count()) / static_cast<double>(declared.count()), maxRatio);
    double& mean = m_queues[queue].ratio;
    mean += newestWeight * (ratio - mean);
}

std::int64_t LoadForecast::milliCpu(const std::string& queue, MonotonicInstant now) const
{
    const std::map<Requirement, std::int64_t> byClass = milliCpuByClass(queue, now);
    const auto any = byClass.find(Requirement {});
    return any == byClass.end() ? 0 : any->second;
}

std::map<Requirement, std::int64_t> LoadForecast::milliCpuByClass(const std::string& queue, MonotonicInstant now) const
{
    std::map<Requirement, std::int64_t> byClass;
    const auto found = m_queues.find(queue);
    if (found == m_queues.end())
        return byClass;
    const std::deque<Arrival>& arrivals = found->second.arrivals;
    const auto countSince = [&](Seconds window) { return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& arrival) { return now - arrival.at <= window; })); };
    const std::size_t newer = countSince(arrivalWindow / 2);
    const double growth = m_extrapolatesRises ? growthOf(countSince(arrivalWindow) - newer, newer) : 1.0;
    const double factor = found->second.ratio * growth;
    const auto note = [&](const std::map<Requirement, double>& sums, Seconds window) {
        for (const auto& [requirement, work] : sums)
            byClass[requirement] = std::max(byClass[requirement], static_cast<std::int64_t>(work * factor / window.count()));
    };
    std::map<Requirement, double> sums;
    std::size_t count = 0;
    for (auto arrival = arrivals.rbegin(); arrival != arrivals.rend() && now - arrival->at <= arrivalWindow; ++arrival) {
        for (const auto& [requirement, work] : arrival->work)
            sums[requirement] += work;
        if (++count == sufficientArrivals && m_extrapolatesRises)
            note(sums, std::max(Seconds(now - arrival->at), minWindow));
    }
    note(sums, arrivalWindow);
    return byClass;
}

double LoadForecast::ratio(const std::string& queue) const
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? 1.0 : found->second.ratio;
}

} // namespace lanemoor::jobs
