#include "lanemoor/jobs/policy/run_time_ranks.h"

#include <algorithm>

namespace lanemoor::jobs {

namespace {

constexpr std::uint64_t minSamples = 16;
/// Samples between two updates of the median: one update costs as much as some ten samples, of which thousands come per second.
constexpr std::uint64_t refreshInterval = 8;

} // namespace

bool RunTimeRanks::note(const std::string& pool, const std::string& queue, double ratio, double lateFactor)
{
    Samples& samples = m_samples[{ pool, queue }];
    const bool late = samples.taken >= minSamples && ratio > lateFactor * static_cast<double>(samples.median);
    samples.ratios.at(samples.taken % maxSamples) = static_cast<float>(ratio);
    ++samples.taken;
    if (samples.taken % refreshInterval == 0)
        refresh(samples);
    return late;
}

void RunTimeRanks::refresh(Samples& samples)
{
    std::array<float, maxSamples> sorted = samples.ratios;
    const auto count = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(samples.taken, maxSamples));
    const auto middle = sorted.begin() + count / 2;
    std::nth_element(sorted.begin(), middle, sorted.begin() + count);
    samples.median = *middle;
}

} // namespace lanemoor::jobs
