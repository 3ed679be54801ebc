#pragma once
/// \file
/// The table that a benchmark prints, and its regression bounds.

#include <cstdio>
#include <string>

namespace lanemoor::bench {

/// \brief Prints figures and counts those that exceed their bound.
class Report {
public:
    explicit Report(const char* title) { std::printf("\n%s\n", title); }

    /// \brief Prints a figure that must not exceed a bound.
    void bounded(const std::string& name, double figure, double bound)
    {
        const bool isWithin = figure <= bound;
        std::printf("  %-58s %10.3f   at most %8.3f%s\n", name.c_str(), figure, bound, isWithin ? "" : "   MISSED");
        m_missed += isWithin ? 0 : 1;
    }

    /// \brief Prints a figure without a bound.
    void unbounded(const std::string& name, double figure) const
    {
        std::printf("  %-58s %10.3f\n", name.c_str(), figure);
    }

    [[nodiscard]] int missed() const noexcept { return m_missed; }

private:
    int m_missed = 0;
};

} // namespace lanemoor::bench
