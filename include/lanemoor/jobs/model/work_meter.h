#pragma once
/// \file
/// How long the process's one thread is at work on what.

#include "lanemoor/jobs/model/event_loop.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lanemoor::jobs {

/// What an owner spends its time on.
enum class WorkKind : std::uint8_t {
    Placement, ///< Passes over tasks that could start.
    FleetPlan, ///< Sizes of pools, moves and waves.
    Reports, ///< What workers say of their attempts.
    Progress, ///< Writing progress to the store.
    StoreNews, ///< Changes that watches of the store bring.
    RelayFrames, ///< Packing and reading what relays carry.
};

/// Number of kinds of work.
constexpr std::size_t workKinds = 6;

/// \returns The name of a kind as it stands in logs and metrics.
[[nodiscard]] std::string_view nameOf(WorkKind kind) noexcept;

/// Time at work, by kind.
struct WorkReading {
    std::array<std::chrono::microseconds, workKinds> spent {}; ///< Work within other work counts once, by its own kind.
    std::chrono::microseconds longest {}; ///< The longest piece, with what was done within it.
    WorkKind longestKind = WorkKind::Placement; ///< Of that piece.

    [[nodiscard]] std::chrono::microseconds of(WorkKind kind) const { return spent.at(static_cast<std::size_t>(kind)); }

    [[nodiscard]] bool operator==(const WorkReading&) const = default;
};

/// \brief Measures pieces of work by the loop's clock.
///
/// A machine that gets a share of a core spends that share's time, and the waits for it count too: the
/// reading says what holds the loop up, not what the processor counts.
///
/// \code
/// const WorkMeter::Piece piece(meter, WorkKind::Placement);
/// \endcode
class WorkMeter {
public:
    explicit WorkMeter(const EventLoop& loop);

    /// A piece of work, from its construction to its end. Pieces may be nested.
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
        Piece* m_outer = nullptr; ///< That this one is part of.
        MonotonicInstant m_begin;
        std::chrono::microseconds m_within {}; ///< Of the pieces within this one.
    };

    /// \returns All work since the process began; `longest` since `takeRecent`.
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
