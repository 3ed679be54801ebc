#pragma once
/// \file
/// Limits the share of calls that are repeated. Pure.

#include <algorithm>

namespace lanemoor::jobs {

/// \brief A token bucket that is filled by calls instead of by time: repeats stay a share of calls under any load.
///
/// A repeat that settles its call while the earlier tries stay unanswered returns its tokens, because it shows that answers are
/// lost. A slow store answers the earlier try first, so the tokens of its repeats are never returned.
class HedgeBudget {
public:
    /// \param share Tokens added per call. \param burst Capacity of the bucket, which starts full.
    HedgeBudget(double share, double burst) noexcept
        : m_share(share)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// \brief Adds the tokens for the first try of a call.
    void noteCall() noexcept { add(m_share); }

    /// \brief Takes one token per call of a repeat. \returns False, with no token taken, if there are too few.
    [[nodiscard]] bool take(unsigned calls) noexcept
    {
        if (m_tokens < calls)
            return false;
        m_tokens -= calls;
        return true;
    }

    /// \brief Returns the tokens of repeats that settled a call.
    void refund(unsigned tokens) noexcept { add(tokens); }

private:
    void add(double tokens) noexcept { m_tokens = std::min(m_tokens + tokens, m_burst); }

    double m_share;
    double m_burst;
    double m_tokens;
};

} // namespace lanemoor::jobs
