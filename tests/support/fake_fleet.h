#pragma once
/// \file
/// A fake of the platform's fleet with a fake clock, for tests and benchmarks of the
/// decisions. It advances in steps, without network or threads.

#include "lanemoor/decisions/controller.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lanemoor::test {

/// Behaviour of the fake platform.
struct FakeFleetOptions {
    Millis step = std::chrono::seconds(10);
    Millis drainTime = std::chrono::seconds(60);
    Millis rebootTime = std::chrono::seconds(240);
    std::uint32_t listLagSteps = 0; ///< The list shows the fleet's state of this many steps ago.
    bool checksEpochs = true; ///< Refuses actions with an epoch older than the newest one that the instance received.
};

/// \brief Instances that fail, drain and reboot according to a fake clock.
class FakeFleet {
public:
    FakeFleet(Instances instances, FakeFleetOptions options);

    [[nodiscard]] Instant now() const noexcept { return m_now; }

    /// \returns The actual current state.
    [[nodiscard]] const Instances& truth() const noexcept { return m_truth; }

    /// \returns The state that the lagging list currently shows.
    [[nodiscard]] const Instances& listed() const noexcept { return m_history.front(); }

    /// \brief Advances the clock by one step.
    void advance();

    /// \brief Performs `action`. A repeat under the same grant has no effect.
    /// \returns False if the action was refused because of its epoch.
    bool perform(const Action& action);

    /// \brief Fails every instance whose id, rack or data hall is `name`.
    void fail(std::string_view name);

    /// \brief Reverts `fail`.
    void recover(std::string_view name);

    /// \brief Sets whether `id` fails all its requests.
    void setFailing(std::string_view id, bool failing);

    /// \brief Makes `id` not return from its reboot.
    void failAtReboot(std::string_view id);

    /// \brief Replaces the labels of one instance.
    void relabel(std::string_view id, const LabelSet& labels);

    /// \brief Removes an instance permanently.
    void remove(std::string_view id);

private:
    struct InstanceProgress {
        std::uint64_t lastRebootGrant = 0;
        std::uint64_t newestEpoch = 0;
        Instant drainedAt;
        Instant returnsAt;
        bool draining = false;
        bool rebooting = false;
        bool failed = false;
        bool failsAtReboot = false;
    };

    void updateInstance(Instance& instance);
    [[nodiscard]] bool matchesName(const Instance& instance, std::string_view name) const;

    FakeFleetOptions m_options;
    Instant m_now;
    Instances m_truth;
    std::unordered_map<std::string, InstanceProgress> m_progress;
    std::deque<Instances> m_history;
};

} // namespace lanemoor::test
