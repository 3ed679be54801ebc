#pragma once
/// \file
/// A small fake of the platform's fleet under a fake clock, for tests and benchmarks
/// of the decisions. It is a step loop, not a simulator: no network, no threads.

#include "lanemoor/decisions/controller.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lanemoor::test {

/// How the fake platform behaves.
struct FakeFleetOptions {
    Millis step = std::chrono::seconds(10);
    Millis drainTime = std::chrono::seconds(60);
    Millis rebootTime = std::chrono::seconds(240);
    std::uint32_t listLagSteps = 0; ///< The list shows the fleet as it was this many steps ago.
    bool checksEpochs = true; ///< Refuses acts with an older epoch than the instance has seen.
};

/// \brief Instances that fail, drain and reboot under a fake clock.
class FakeFleet {
public:
    FakeFleet(Instances instances, FakeFleetOptions options);

    [[nodiscard]] Instant now() const noexcept { return m_now; }

    /// \returns What is true now.
    [[nodiscard]] const Instances& truth() const noexcept { return m_truth; }

    /// \returns What the lagging list shows now.
    [[nodiscard]] const Instances& listed() const noexcept { return m_history.front(); }

    /// \brief Lets one step of time pass.
    void advance();

    /// \brief Carries out `action`; a repeat under the same grant changes nothing.
    /// \returns Whether it was not refused for its epoch.
    bool perform(const Action& action);

    /// \brief Loses every instance whose id, rack or data hall is `name`.
    void fail(std::string_view name);

    /// \brief Brings back what `fail` lost.
    void recover(std::string_view name);

    /// \brief Makes `id` fail all its work, or work well again.
    void setFailing(std::string_view id, bool failing);

    /// \brief An instance under this reboot never comes back.
    void loseAtReboot(std::string_view id);

    /// \brief Changes labels of one instance.
    void relabel(std::string_view id, const LabelSet& labels);

    /// \brief Takes an instance away for good.
    void remove(std::string_view id);

private:
    struct Work {
        std::uint64_t rebootedUnder = 0;
        std::uint64_t newestEpoch = 0;
        Instant drainedAt;
        Instant backAt;
        bool draining = false;
        bool rebooting = false;
        bool lost = false;
        bool lostAtReboot = false;
    };

    void settle(Instance& instance);
    [[nodiscard]] bool named(const Instance& instance, std::string_view name) const;

    FakeFleetOptions m_options;
    Instant m_now;
    Instances m_truth;
    std::unordered_map<std::string, Work> m_work;
    std::deque<Instances> m_history;
};

} // namespace lanemoor::test
