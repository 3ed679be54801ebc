#pragma once
/// \file
/// Limits how many calls are repeated. Pure.

#include <algorithm>

namespace lanemoor::jobs {

/// \brief A token bucket that is filled by calls instead of by time: repeats stay a share of calls, whatever the load.
///
/// A repeat that settles its call while the earlier tries stay unanswered gives its tokens back. That shows that answers are
/// lost; a slow store answers the earlier try first, and its repeats are never given back.
class HedgeBudget {
public:
    /// \param share Tokens that a call adds. \param burst The most tokens; the bucket begins full.
    HedgeBudget(double share, double burst) noexcept
        : m_share(share)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// \brief Notes a call that is sent for the first time.
    void noteCall() noexcept { add(m_share); }

    /// \brief Takes a token for each call of a repeat. \returns False if there are not so many; none is taken then.
    [[nodiscard]] bool take(unsigned calls) noexcept
    {
        if (m_tokens < calls)
            return false;
        m_tokens -= calls;
        return true;
    }

    /// \brief Returns the tokens of repeats that settled a call.
    void giveBack(unsigned tokens) noexcept { add(tokens); }

private:
    void add(double tokens) noexcept { m_tokens = std::min(m_tokens + tokens, m_burst); }

    double m_share;
    double m_burst;
    double m_tokens;
};

} // namespace lanemoor::jobs
