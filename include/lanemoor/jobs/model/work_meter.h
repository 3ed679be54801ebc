#pragma once
/// \file
/// Time that the event loop's thread spends on each kind of work.

#include "lanemoor/jobs/model/event_loop.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lanemoor::jobs {

/// Kinds of work of an owner.
enum class WorkKind : std::uint8_t {
    Placement, ///< Passes over tasks that could start.
    FleetPlan, ///< Sizes of pools, moves and waves.
    Reports, ///< Processing the workers' status reports.
    Progress, ///< Writing progress to the store.
    StoreChanges, ///< Applying changes that watches of the store deliver.
    RelayFrames, ///< Encoding and decoding relay frames.
};

constexpr std::size_t workKindCount = 6;

/// \returns The name of `kind` in logs and metrics.
[[nodiscard]] std::string_view nameOf(WorkKind kind) noexcept;

/// Time spent, by kind of work.
struct WorkReading {
    std::array<std::chrono::microseconds, workKindCount> spent {}; ///< Exclusive times: nested work counts only under its own kind.
    std::chrono::microseconds longest {}; ///< Inclusive time of the longest piece of work.
    WorkKind longestPieceKind = WorkKind::Placement; ///< Kind of the longest piece.

    [[nodiscard]] std::chrono::microseconds of(WorkKind kind) const { return spent.at(static_cast<std::size_t>(kind)); }

    [[nodiscard]] bool operator==(const WorkReading&) const = default;
};

/// \brief Measures pieces of work by the event loop's clock.
///
/// The times are wall time, not processor time: on a machine with a share of a core, waits for the processor are included, since they
/// delay the event loop too.
///
/// \code
/// const WorkMeter::Piece piece(meter, WorkKind::Placement);
/// \endcode
class WorkMeter {
public:
    explicit WorkMeter(const EventLoop& loop);

    /// Measures a piece of work from construction to destruction. Pieces may be nested.
    class Piece {
    public:
        /// \param meter Null: nothing is measured.
        Piece(WorkMeter* meter, WorkKind kind);
        ~Piece();
        Piece(const Piece&) = delete;
        Piece& operator=(const Piece&) = delete;

    private:
        WorkMeter* m_meter;
        WorkKind m_kind;
        Piece* m_outer = nullptr; ///< The enclosing piece, or null.
        MonotonicInstant m_begin;
        std::chrono::microseconds m_nested {}; ///< Total time of the nested pieces.
    };

    /// \returns All work since the process started; only `takeRecent` reports a longest piece.
    [[nodiscard]] const WorkReading& total() const noexcept { return m_total; }

    /// \returns Work since the last call.
    WorkReading takeRecent();

private:
    const EventLoop& m_loop;
    Piece* m_current = nullptr;
    WorkReading m_total;
    WorkReading m_recent;
};

} // namespace lanemoor::jobs
