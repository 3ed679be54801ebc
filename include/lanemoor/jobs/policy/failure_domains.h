#pragma once
/// \file
/// Tracks data halls as failure domains: whether each serves, and when one is lost or returns. Pure.

#include "lanemoor/jobs/model/event_loop.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lanemoor::jobs {

/// Settings of the loss detection for data halls.
struct FailureDomainOptions {
    bool enabled = true; ///< False: each worker is assessed alone, regardless of its data hall.
    /// Workers of a lost data hall stop answering within this time: a renewal call waits up to 1 s for the end of a task.
    Millis lossWindow { 1'000 };
    std::uint32_t minStopped = 4; ///< Fewer workers may stop by coincidence.
    double lostShare = 0.5; ///< A data hall is lost if more than this share of its workers stops answering.
    Millis returnStep { 250 }; ///< Interval between two batches of readmitted workers.
    double returnShare = 0.25; ///< Share of the data hall's workers in one batch.
    /// A data hall of which at most `lostShare` returns counts as back if no worker was readmitted for this time.
    Millis returnSettleTime { 5'000 };
    /// A data hall of which no worker returns counts as back after this: all of its remaining instances may be off.
    Millis maxLossTime { 30'000 };

    [[nodiscard]] bool operator==(const FailureDomainOptions&) const = default;
};

/// State of a data hall.
enum class FailureDomainState {
    Serving,
    Evacuating, ///< Operators request that no task starts there.
    Lost, ///< Its workers stopped answering together, and not all are readmitted yet.
};

/// \returns A short name of `state` for logs and operators.
[[nodiscard]] std::string_view nameOf(FailureDomainState state) noexcept;

/// Status of one data hall.
struct FailureDomain {
    std::string dataHall;
    FailureDomainState state = FailureDomainState::Serving;
    MonotonicInstant since; ///< Start of the state; meaningful unless it serves.
    std::uint32_t workers = 0; ///< Workers that answer or have stopped answering.
    std::uint32_t unresponsive = 0; ///< Workers that have stopped answering.

    [[nodiscard]] bool operator==(const FailureDomain&) const = default;
};

/// \brief Status of all data halls at one time.
struct FailureDomainStatus {
    MonotonicInstant asOf;
    std::vector<FailureDomain> halls; ///< By name.

    /// \returns The data hall, or null if it is unknown.
    [[nodiscard]] const FailureDomain* find(std::string_view dataHall) const noexcept;

    /// \returns Whether instances of the data hall may get tasks.
    [[nodiscard]] bool serves(std::string_view dataHall) const noexcept;

    [[nodiscard]] bool operator==(const FailureDomainStatus&) const = default;
};

/// \brief Adds the data halls under an evacuation request, with the time of each request. A lost data hall stays lost.
void noteEvacuations(FailureDomainStatus& status, const std::map<std::string, MonotonicInstant>& requests);

/// Loss or return of a data hall.
struct HallChange {
    std::string dataHall;
    bool isLost = false; ///< False: it is back.
    std::uint32_t workers = 0; ///< At the time of the loss.
    std::uint32_t stopped = 0; ///< Workers that stopped answering within the window.
    Millis lasted { 0 }; ///< Duration of the loss.

    [[nodiscard]] bool operator==(const HallChange&) const = default;
};

/// Findings since the last update.
struct HallFindings {
    std::vector<HallChange> changes;
    std::vector<std::string> admitted; ///< Workers that were readmitted.

    [[nodiscard]] bool operator==(const HallFindings&) const = default;
};

/// \brief Detects data halls whose workers stop answering together, and readmits their workers in batches.
///
/// Workers that stop one by one are assessed one by one. If more than half of a data hall's workers stop within a second while
/// another data hall answers, the data hall is lost and none of its workers is admitted. The ones that still answer once the
/// window has passed are admitted in batches, so that a data hall with unstable power does not attract all tasks.
///
/// \code
/// detector.noteStop("i-17", false, now);
/// const HallFindings found = detector.update(now);
/// if (detector.admits("i-18"))
///     place(task, "i-18");
/// \endcode
class HallLossDetector {
public:
    explicit HallLossDetector(FailureDomainOptions options = {});

    /// \brief Records an answer of a worker. \returns Whether its data hall's state allows it to get tasks.
    bool noteAnswer(const std::string& dataHall, const std::string& worker, MonotonicInstant now);

    /// \brief Records that a worker did not answer, or that its incarnation has ended unplanned.
    /// \param hasEnded The incarnation will not answer again.
    void noteStop(const std::string& worker, bool hasEnded, MonotonicInstant now);

    /// \brief Removes a worker whose end was planned.
    void removeWorker(const std::string& worker);

    /// \returns Losses, returns and readmissions up to now.
    [[nodiscard]] HallFindings update(MonotonicInstant now);

    /// \returns Whether the state of the worker's data hall allows it to get tasks.
    [[nodiscard]] bool admits(const std::string& worker) const;

    /// \returns All data halls of known workers; those that are not lost are shown as serving.
    [[nodiscard]] FailureDomainStatus status(MonotonicInstant now) const;

private:
    struct Stop {
        MonotonicInstant at;
        bool hasEnded = false;
    };

    /// An ongoing loss.
    struct Loss {
        MonotonicInstant since;
        std::uint32_t workers = 0; ///< Workers of the data hall at the time of the loss.
        std::uint32_t admitted = 0;
        std::deque<std::string> waiting; ///< Workers that answer and are not admitted yet.
        MonotonicInstant nextStepAt;
        MonotonicInstant lastAdmittedAt; ///< Meaningful after the first admission.
    };

    struct Hall {
        std::uint32_t answering = 0;
        std::map<std::string, Stop> stopped; ///< By worker.
        bool hasNewStops = false; ///< Since the last update.
        MonotonicInstant answeredAt; ///< Time of the latest answer.
        std::optional<Loss> loss;
    };

    struct Worker {
        std::string dataHall;
        bool answers = true;
        bool admitted = true;
    };

    /// Stops within the loss window.
    struct RecentStops {
        std::uint32_t count = 0;
        MonotonicInstant first = MonotonicInstant::max();
    };

    void forgetEnded(Hall& hall, MonotonicInstant now) const;
    [[nodiscard]] RecentStops recentStops(const Hall& hall, MonotonicInstant now) const;
    [[nodiscard]] bool isMajority(const Hall& hall, const RecentStops& stops) const;
    [[nodiscard]] bool anotherHallAnswers(const std::string& dataHall, MonotonicInstant since, MonotonicInstant now) const;
    void declareLost(const std::string& dataHall, Hall& hall, const RecentStops& stops, MonotonicInstant now, HallFindings& findings);
    void readmitHall(const std::string& dataHall, Hall& hall, MonotonicInstant now, HallFindings& findings);
    void admitPart(Loss& loss, MonotonicInstant now, HallFindings& findings);
    [[nodiscard]] bool hasReturned(const Loss& loss, MonotonicInstant now) const;

    FailureDomainOptions m_options;
    std::map<std::string, Hall> m_halls;
    std::unordered_map<std::string, Worker> m_workers;
};

} // namespace lanemoor::jobs
