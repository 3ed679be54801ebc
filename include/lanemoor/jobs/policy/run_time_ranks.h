#pragma once
/// \file
/// Compares run times with those of similar tasks at other workers. Pure.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace lanemoor::jobs {

/// \brief Compares a run time with the latest ones of its pool and queue.
///
/// Declared times are off by half and more, so run times are compared as multiples of them within one queue. The median is robust
/// against a third of slow workers; if half of a pool is slow, no worker counts as slow.
class RunTimeRanks {
public:
    /// \brief Records the run time of a task that succeeded.
    /// \param ratio Ratio of the run time to the declared one.
    /// \param lateFactor Multiple of the median above which a run time is late.
    /// \returns Whether it is late; false while there are few samples.
    bool note(const std::string& pool, const std::string& queue, double ratio, double lateFactor);

private:
    static constexpr std::size_t maxSamples = 64;

    struct Samples {
        std::array<float, maxSamples> ratios {};
        std::uint64_t taken = 0;
        float median = 0;
    };

    static void refresh(Samples& samples);

    std::map<std::pair<std::string, std::string>, Samples> m_samples;
};

} // namespace lanemoor::jobs
