#pragma once
/// \file
/// Memory of all request bodies that a server holds.

#include <atomic>
#include <cstddef>

namespace lanemoor {

/// \brief Accounts for the bodies of all connections together. Thread-safe.
class BodyBudget {
public:
    explicit BodyBudget(std::size_t maxBytes) noexcept
        : m_maxBytes(maxBytes)
    {
    }

    /// \returns False if the limit would be exceeded; nothing is reserved then.
    [[nodiscard]] bool reserve(std::size_t bytes) noexcept
    {
        std::size_t held = m_held.load();
        do {
            if (bytes > m_maxBytes - held)
                return false;
        } while (!m_held.compare_exchange_weak(held, held + bytes));
        return true;
    }

    void release(std::size_t bytes) noexcept { m_held -= bytes; }

private:
    std::size_t m_maxBytes;
    std::atomic<std::size_t> m_held { 0 };
};

/// \brief The share of one request in a budget; released on destruction. Not thread-safe.
class BodyReservation {
public:
    explicit BodyReservation(BodyBudget& budget) noexcept
        : m_budget(budget)
    {
    }

    ~BodyReservation() { clear(); }
    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;

    /// \returns False if the budget does not allow `bytes` in all; the share is unchanged then.
    [[nodiscard]] bool growTo(std::size_t bytes) noexcept
    {
        if (bytes > m_bytes && !m_budget.reserve(bytes - m_bytes))
            return false;
        m_bytes = bytes > m_bytes ? bytes : m_bytes;
        return true;
    }

    void clear() noexcept
    {
        m_budget.release(m_bytes);
        m_bytes = 0;
    }

private:
    BodyBudget& m_budget;
    std::size_t m_bytes = 0;
};

} // namespace lanemoor
