#pragma once
/// \file
/// Data halls as failure domains: whether each serves, and when one is lost or back. Pure.

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

/// Weights of the decisions on data halls.
struct FailureDomainOptions {
    bool enabled = true; ///< False: workers are judged one by one, whatever their data hall.
    /// Workers of a lost data hall stop answering within this: a renewal waits up to a second for an end.
    Millis lossWindow { 1'000 };
    std::uint32_t leastStopped = 4; ///< Fewer may be lost by chance.
    double lostShare = 0.5; ///< Of the workers of a data hall; it is lost if more than this stop answering.
    Millis returnStep { 250 }; ///< Between two parts of a data hall that are taken back.
    double returnShare = 0.25; ///< Of the workers of the data hall, in one part.
    /// A data hall of which fewer workers return counts as back once no other one came for so long.
    Millis returnSettles { 5'000 };
    /// A data hall of which no worker returns is no longer judged as a whole: instances of it that are off may be all that is left.
    Millis longestLoss { 30'000 };

    [[nodiscard]] bool operator==(const FailureDomainOptions&) const = default;
};

/// What can be said of a data hall.
enum class FailureDomainState {
    Serving,
    Evacuating, ///< Operators ask that nothing starts there.
    Lost, ///< Its workers stopped answering together, and are not all taken back yet.
};

/// \returns A short name of `state` for logs and operators.
[[nodiscard]] std::string_view nameOf(FailureDomainState state) noexcept;

/// One data hall.
struct FailureDomain {
    std::string dataHall;
    FailureDomainState state = FailureDomainState::Serving;
    MonotonicInstant since; ///< Of the state; meaningful unless it serves.
    std::uint32_t workers = 0; ///< That answer or have stopped answering.
    std::uint32_t silent = 0; ///< Of them, those that have stopped answering.

    [[nodiscard]] bool operator==(const FailureDomain&) const = default;
};

/// \brief All data halls as of one time.
struct FailureDomainStatus {
    MonotonicInstant asOf;
    std::vector<FailureDomain> halls; ///< By name.

    /// \returns The data hall, or null if it is not known.
    [[nodiscard]] const FailureDomain* find(std::string_view dataHall) const noexcept;

    /// \returns Whether instances of the data hall may be given work.
    [[nodiscard]] bool serves(std::string_view dataHall) const noexcept;

    [[nodiscard]] bool operator==(const FailureDomainStatus&) const = default;
};

/// \brief Adds the data halls that operators ask to evacuate, with the time of each request. One that is lost stays shown as lost.
void noteEvacuations(FailureDomainStatus& status, const std::map<std::string, MonotonicInstant>& requests);

/// The loss or the return of a data hall.
struct HallChange {
    std::string dataHall;
    bool isLost = false; ///< False: it is back.
    std::uint32_t workers = 0; ///< When it was lost.
    std::uint32_t stopped = 0; ///< Of them, those that stopped answering within the window.
    Millis lasted { 0 }; ///< Until it was back.

    [[nodiscard]] bool operator==(const HallChange&) const = default;
};

/// What the detector has found since it was last asked.
struct HallFindings {
    std::vector<HallChange> changes;
    std::vector<std::string> admitted; ///< Workers that were taken back.

    [[nodiscard]] bool operator==(const HallFindings&) const = default;
};

/// \brief Finds data halls whose workers stop answering together, and takes them back in parts.
///
/// Workers that stop one by one are judged one by one. If more than half of a data hall stop within a second while another one
/// answers, the data hall is lost: none of its workers is admitted. Those that answer once all others have been missed are admitted
/// in parts, so that a data hall whose power comes and goes does not attract all work.
///
/// \code
/// detector.noteStop("i-17", now);
/// const HallFindings found = detector.update(now);
/// if (detector.admits("i-18"))
///     place(task, "i-18");
/// \endcode
class HallLossDetector {
public:
    explicit HallLossDetector(FailureDomainOptions options = {});

    /// \brief Notes that a worker answered. \returns Whether it may have work, as far as its data hall goes.
    bool noteAnswer(const std::string& dataHall, const std::string& worker, MonotonicInstant now);

    /// \brief Notes that a worker did not answer, or that its incarnation has ended unplanned.
    /// \param hasEnded It will not answer again.
    void noteStop(const std::string& worker, bool hasEnded, MonotonicInstant now);

    /// \brief Forgets a worker whose end was planned.
    void noteGone(const std::string& worker);

    /// \returns What was lost, is back, or was taken back by now.
    [[nodiscard]] HallFindings update(MonotonicInstant now);

    /// \returns Whether the worker may have work, as far as its data hall goes.
    [[nodiscard]] bool admits(const std::string& worker) const;

    /// \returns All data halls that were heard of; those that are not lost as serving.
    [[nodiscard]] FailureDomainStatus status(MonotonicInstant now) const;

private:
    struct Stop {
        MonotonicInstant at;
        bool hasEnded = false;
    };

    /// A loss that is not over.
    struct Loss {
        MonotonicInstant since;
        std::uint32_t workers = 0; ///< Of the data hall then.
        std::uint32_t admitted = 0;
        std::deque<std::string> waiting; ///< Workers that answer and are not admitted.
        MonotonicInstant nextStepAt;
        MonotonicInstant lastAdmittedAt; ///< Meaningful if any was admitted.
    };

    struct Hall {
        std::uint32_t answering = 0;
        std::map<std::string, Stop> stopped; ///< By worker.
        bool hasNewStops = false; ///< Since the last update.
        MonotonicInstant answeredAt; ///< Of the latest answer.
        std::optional<Loss> loss;
    };

    struct Worker {
        std::string dataHall;
        bool answers = true;
        bool admitted = true;
    };

    /// Stops within the window.
    struct RecentStops {
        std::uint32_t count = 0;
        MonotonicInstant first = MonotonicInstant::max();
    };

    void forgetEnded(Hall& hall, MonotonicInstant now) const;
    [[nodiscard]] RecentStops recentStops(const Hall& hall, MonotonicInstant now) const;
    [[nodiscard]] bool isMajority(const Hall& hall, const RecentStops& stops) const;
    [[nodiscard]] bool anotherAnswers(const std::string& dataHall, MonotonicInstant since, MonotonicInstant now) const;
    void lose(const std::string& dataHall, Hall& hall, const RecentStops& stops, MonotonicInstant now, HallFindings& findings);
    void takeBack(const std::string& dataHall, Hall& hall, MonotonicInstant now, HallFindings& findings);
    void admitPart(Loss& loss, MonotonicInstant now, HallFindings& findings);
    [[nodiscard]] bool isBack(const Loss& loss, MonotonicInstant now) const;

    FailureDomainOptions m_options;
    std::map<std::string, Hall> m_halls;
    std::unordered_map<std::string, Worker> m_workers;
};

} // namespace lanemoor::jobs
