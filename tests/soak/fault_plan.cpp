#include "fault_plan.h"

#include <algorithm>
#include <random>

namespace lanemoor::soak {

namespace {

constexpr Millis cycle { 38'000 };
constexpr Millis calmFrom { 18'000 }; // From this offset to the end of each cycle, only workers fail and operators act.
constexpr Millis evacuationFrom { 15'000 };
constexpr Millis evacuationDuration { 14'000 };
constexpr Millis refusalFrom { 29'500 }; // After the evacuation, whose check needs starts.
constexpr Millis refusalDuration { 6'500 };
constexpr unsigned ownerOneIn = 2; // One in so many faults of processes targets the owner.

/// A sequence of non-overlapping faults with random pauses between them.
struct Series {
    std::vector<FaultKind> kinds;
    Millis minPause { 0 };
    Millis maxPause { 0 };
    Millis minDuration { 0 };
    Millis maxDuration { 0 };
    bool alsoInCalm = false;
};

const std::vector<Series>& allSeries()
{
    static const std::vector<Series> series {
        { { FaultKind::PauseProcess, FaultKind::KillProcess, FaultKind::StopProcess }, Millis(500), Millis(2'500), Millis(300), Millis(4'000), false },
        { { FaultKind::PauseProcess, FaultKind::KillProcess }, Millis(2'000), Millis(6'000), Millis(300), Millis(2'500), false },
        { { FaultKind::RefuseStore, FaultKind::HangStore, FaultKind::SlowStore, FaultKind::LoseStoreAnswers, FaultKind::DelayStoreWrites }, Millis(2'000), Millis(6'000), Millis(500), Millis(3'500), false },
        { { FaultKind::CutProcessFromStore, FaultKind::ResetProcessFromStore, FaultKind::StallProcessFromStore }, Millis(1'000), Millis(4'000), Millis(300), Millis(3'000), false },
        { { FaultKind::CutHallForward, FaultKind::CutHallBackward, FaultKind::CutGroups, FaultKind::DelayHall }, Millis(1'000), Millis(4'000), Millis(500), Millis(5'000), false },
        { { FaultKind::KillWorker, FaultKind::RestartWorker, FaultKind::HangWorker, FaultKind::SlowWorker }, Millis(1'000), Millis(3'000), Millis(300), Millis(7'000), true },
        { { FaultKind::ChangeConfiguration }, Millis(2'000), Millis(5'000), Millis(0), Millis(0), true },
    };
    return series;
}

/// Planned after all others, whose random sequences depend on their order.
const Series& advisorSeries()
{
    static const Series series { { FaultKind::HangAdvisor }, Millis(2'000), Millis(8'000), Millis(300), Millis(4'000), true };
    return series;
}

Millis between(std::mt19937_64& random, Millis shortest, Millis longest)
{
    // Not std::uniform_int_distribution: its results differ between standard libraries.
    const auto span = static_cast<std::uint64_t>((longest - shortest).count()) + 1;
    return shortest + Millis(static_cast<std::int64_t>(random() % span));
}

void planSeries(const Series& series, std::mt19937_64& random, Millis end, std::vector<PlannedFault>& faults)
{
    Millis at { 0 };
    while (true) {
        at += between(random, series.minPause, series.maxPause);
        PlannedFault fault { .at = at, .duration = between(random, series.minDuration, series.maxDuration) };
        fault.kind = series.kinds[random() % series.kinds.size()];
        fault.onOwner = random() % ownerOneIn == 0;
        fault.target = static_cast<unsigned>(random());
        fault.hall = static_cast<unsigned>(random());
        const Millis inCycle = at % cycle;
        at += fault.duration;
        if (at > end)
            return;
        if (series.alsoInCalm || inCycle + fault.duration <= calmFrom)
            faults.push_back(fault);
    }
}

} // namespace

std::string_view nameOf(FaultKind kind) noexcept
{
    switch (kind) {
    case FaultKind::PauseProcess:
        return "pause-process";
    case FaultKind::KillProcess:
        return "kill-process";
    case FaultKind::StopProcess:
        return "stop-process";
    case FaultKind::RefuseStore:
        return "refuse-store";
    case FaultKind::HangStore:
        return "silence-store";
    case FaultKind::SlowStore:
        return "slow-store";
    case FaultKind::LoseStoreAnswers:
        return "lose-store-answers";
    case FaultKind::DelayStoreWrites:
        return "delay-store-writes";
    case FaultKind::CutProcessFromStore:
        return "cut-process-from-store";
    case FaultKind::ResetProcessFromStore:
        return "reset-process-from-store";
    case FaultKind::StallProcessFromStore:
        return "silence-process-from-store";
    case FaultKind::CutHallForward:
        return "cut-hall-forward";
    case FaultKind::CutHallBackward:
        return "cut-hall-backward";
    case FaultKind::CutGroups:
        return "cut-groups";
    case FaultKind::DelayHall:
        return "delay-hall";
    case FaultKind::KillWorker:
        return "kill-worker";
    case FaultKind::RestartWorker:
        return "restart-worker";
    case FaultKind::HangWorker:
        return "mute-worker";
    case FaultKind::SlowWorker:
        return "slow-worker";
    case FaultKind::ChangeConfiguration:
        return "change-configuration";
    case FaultKind::EvacuateHall:
        return "evacuate-hall";
    case FaultKind::RefuseStarts:
        return "refuse-starts";
    case FaultKind::HangAdvisor:
        return "silence-advisor";
    }
    return "";
}

std::vector<PlannedFault> planFaults(std::uint64_t seed, unsigned seconds)
{
    const Millis end = std::chrono::seconds(seconds);
    std::vector<PlannedFault> faults;
    std::uint64_t number = 0;
    for (const Series& series : allSeries()) {
        std::seed_seq numbers { seed, ++number };
        std::mt19937_64 random(numbers);
        planSeries(series, random, end, faults);
    }
    std::seed_seq numbers { seed, ++number };
    std::mt19937_64 random(numbers);
    for (Millis at = refusalFrom; at + refusalDuration <= end; at += cycle)
        faults.push_back({ .at = at, .duration = refusalDuration, .kind = FaultKind::RefuseStarts });
    for (Millis at = evacuationFrom; at + evacuationDuration <= end; at += cycle)
        faults.push_back({ .at = at, .duration = evacuationDuration, .kind = FaultKind::EvacuateHall, .hall = static_cast<unsigned>(random()) });
    std::seed_seq advisorNumbers { seed, ++number };
    std::mt19937_64 advisorRandom(advisorNumbers);
    planSeries(advisorSeries(), advisorRandom, end, faults);
    std::stable_sort(faults.begin(), faults.end(), [](const PlannedFault& a, const PlannedFault& b) { return a.at < b.at; });
    return faults;
}

} // namespace lanemoor::soak
