#pragma once
/// \file
/// Compares run times with those of the same kind of task at other workers. Pure.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace lanemoor::jobs {

/// \brief The rank of a run time among the latest ones of its pool and queue.
///
/// Declared times are wrong by half and more, so run times are compared as multiples of them within one queue. The median bears a
/// third of slow workers; where half of a pool is slow, none of it is.
class RunTimeRanks {
public:
    /// \brief Takes in the run time of a task that succeeded.
    /// \param ratio Of the run time to the declared one.
    /// \param lateFactor Late is what takes so many times the median.
    /// \returns Whether it was late; nothing is while there are few samples.
    bool note(const std::string& pool, const std::string& queue, double ratio, double lateFactor);

private:
    static constexpr std::size_t mostSamples = 64;

    struct Samples {
        std::array<float, mostSamples> ratios {};
        std::uint64_t taken = 0;
        float median = 0;
    };

    static void refresh(Samples& samples);

    std::map<std::pair<std::string, std::string>, Samples> m_samples;
};

} // namespace lanemoor::jobs
