#pragma once
/// \file
/// Which connections a process keeps when descriptors or memory run short.

#include "lanemoor/jobs/model/event_loop.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace lanemoor::aio {

/// What a connection is doing.
enum class ConnectionPhase {
    Closing, ///< Its last response is sent; the rest of its input is discarded.
    Idle, ///< Between requests.
    Reading, ///< A message is being read.
    Writing, ///< A response is being written.
    Handling, ///< A request was read whole and has no response yet.
};

/// Why a connection was closed, or its request not passed on.
enum class RefusalReason {
    Connections, ///< In favour of a newer connection.
    Memory, ///< The memory of all connections is used up.
    Header, ///< Header, chunk header or trailer over the limit.
    Body, ///< Body over the limit.
    Malformed,
};

/// \returns A short name of `reason`, for logs and metrics.
[[nodiscard]] std::string_view nameOf(RefusalReason reason) noexcept;

/// Limits for all connections together.
struct ConnectionBudgetOptions {
    std::uint32_t maxConnections = 1'500; ///< Well below an entry's limit of file descriptors.
    std::uint64_t maxBytes = 33'554'432; ///< A fifth of the memory of the smallest entry.
};

/// \brief Accounts for the descriptors and the memory of a set of connections, and chooses those to close when either is used up.
///
/// A connection in the phase `Handling` is never closed. For a new connection, the one that has been idle longest is closed, and
/// without idle ones the one whose message began first. For memory, the one whose message began first is closed. Not thread-safe.
class ConnectionBudget {
public:
    using Id = std::uint64_t;
    /// Closes a connection; the budget has forgotten it by then.
    using Close = std::function<void(RefusalReason)>;

    explicit ConnectionBudget(ConnectionBudgetOptions options);

    /// \brief Adds an idle connection that holds no memory. May close another one.
    /// \returns Nothing if there is no room and no connection can be closed.
    [[nodiscard]] std::optional<Id> open(jobs::MonotonicInstant now, Close close);

    /// \brief Removes a connection, if it is known.
    void remove(Id id);

    /// \brief Changes the phase of a connection, which begins at `now`. Unknown connections are ignored.
    void enter(Id id, ConnectionPhase phase, jobs::MonotonicInstant now);

    /// \brief Sets the memory of a connection to `bytes`. May close others. Less than before is always granted.
    /// \returns False if the connection is unknown, if it is reading and its message began first of several, or if the memory would not suffice
    /// without the others that can be closed; the memory of the connection is then unchanged.
    [[nodiscard]] bool reserve(Id id, std::uint64_t bytes);

    [[nodiscard]] std::size_t connections() const noexcept { return m_entries.size(); }
    [[nodiscard]] std::uint64_t bytes() const noexcept { return m_bytes; }
    [[nodiscard]] std::uint64_t maxBytes() const noexcept { return m_options.maxBytes; }

private:
    struct Entry {
        Close close;
        ConnectionPhase phase = ConnectionPhase::Idle;
        jobs::MonotonicInstant since;
        std::uint64_t bytes = 0;
    };
    using Order = std::set<std::pair<jobs::MonotonicInstant, Id>>;

    static constexpr std::size_t phaseCount = 5;

    [[nodiscard]] Order& orderOf(ConnectionPhase phase) { return m_orders[static_cast<std::size_t>(phase)]; }
    /// \returns The connection to close for the memory that `requester` needs: itself if its message began first of several.
    [[nodiscard]] std::optional<Id> oldestWithMemory(Id requester);
    void evict(Id id, RefusalReason reason);

    ConnectionBudgetOptions m_options;
    std::unordered_map<Id, Entry> m_entries;
    std::array<Order, phaseCount> m_orders; ///< By phase, oldest first.
    std::uint64_t m_bytes = 0;
    std::uint64_t m_handlingBytes = 0; ///< Of connections in the phase `Handling`.
    Id m_lastId = 0;
};

} // namespace lanemoor::aio
