#include "lanemoor/jobs/load_forecast.h"

#include <algorithm>
#include <chrono>

namespace lanemoor::jobs {

namespace {

/// Long enough to hold some arrivals at ten a second, short against a move's 1.5 s.
constexpr std::chrono::duration<double> arrivalWindow { 0.7 };
constexpr double newestWeight = 0.05; // Of one task in the running mean of ratios.
constexpr double mostRatio = 10.0; // One task on a slow worker must not spoil the mean.

std::map<Requirement, double> workOf(const JobSpec& job)
{
    std::map<Requirement, double> work;
    for (const StepSpec& step : job.steps) {
        if (step.longRunning)
            continue;
        for (const Requirement& requirement : requirementsOf(step))
            work[requirement] += static_cast<double>(step.count) * static_cast<double>(step.needs.milliCpu) * std::chrono::duration<double>(step.estimate).count();
    }
    return work;
}

} // namespace

void LoadForecast::noteArrival(const std::string& queue, const JobSpec& job, MonotonicInstant now)
{
    std::deque<Arrival>& arrivals = m_queues[queue].arrivals;
    while (!arrivals.empty() && now - arrivals.front().at > arrivalWindow)
        arrivals.pop_front();
    if (job.occurrences == 0)
        arrivals.push_back({ now, workOf(job) });
}

void LoadForecast::noteRunTime(const std::string& queue, Millis declared, Millis observed)
{
    if (declared.count() <= 0)
        return;
    const double ratio = std::min(static_cast<double>(observed.count()) / static_cast<double>(declared.count()), mostRatio);
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
    std::map<Requirement, double> sums;
    for (const Arrival& arrival : found->second.arrivals) {
        if (now - arrival.at > arrivalWindow)
            continue;
        for (const auto& [requirement, work] : arrival.work)
            sums[requirement] += work;
    }
    for (const auto& [requirement, work] : sums)
        byClass[requirement] = static_cast<std::int64_t>(work * found->second.ratio / arrivalWindow.count());
    return byClass;
}

double LoadForecast::ratio(const std::string& queue) const
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? 1.0 : found->second.ratio;
}

} // namespace lanemoor::jobs
