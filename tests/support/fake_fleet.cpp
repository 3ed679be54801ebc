#include "support/fake_fleet.h"

#include <algorithm>

namespace lanemoor::test {

namespace {

/// A Wednesday at 12:00 UTC, so that maintenance windows can be tested around it.
constexpr Instant startTime { std::chrono::seconds(1'764'763'200) };

} // namespace

FakeFleet::FakeFleet(Instances instances, FakeFleetOptions options)
    : m_options(options)
    , m_now(startTime)
    , m_truth(std::move(instances))
{
    std::sort(m_truth.begin(), m_truth.end(), [](const Instance& a, const Instance& b) { return a.id < b.id; });
    m_history.push_back(m_truth);
}

bool FakeFleet::matchesName(const Instance& instance, std::string_view name) const
{
    return instance.id == name || instance.rack == name || instance.dataHall == name;
}

void FakeFleet::updateInstance(Instance& instance)
{
    InstanceProgress& progress = m_progress[instance.id];
    if (progress.draining && m_now >= progress.drainedAt)
        instance.drained = true;
    if (progress.rebooting && m_now >= progress.returnsAt && !progress.failsAtReboot) {
        progress.rebooting = false;
        progress.draining = false;
        instance.drained = false;
        instance.failing = false;
        ++instance.bootId;
    }
    const bool down = progress.failed || progress.rebooting;
    instance.state = down ? InstanceState::Leaving : InstanceState::Live;
    if (isHealthy(instance))
        instance.unhealthySince.reset();
    else if (!instance.unhealthySince)
        instance.unhealthySince = m_now;
}

void FakeFleet::advance()
{
    m_now += m_options.step;
    for (Instance& instance : m_truth)
        updateInstance(instance);
    m_history.push_back(m_truth);
    while (m_history.size() > m_options.listLagSteps + 1)
        m_history.pop_front();
}

bool FakeFleet::perform(const Action& action)
{
    InstanceProgress& progress = m_progress[action.instance];
    if (m_options.checksEpochs && action.epoch < progress.newestEpoch)
        return false;
    progress.newestEpoch = std::max(progress.newestEpoch, action.epoch);
    switch (action.kind) {
    case ActionKind::Drain:
        if (!progress.draining)
            progress.drainedAt = m_now + m_options.drainTime;
        progress.draining = true;
        break;
    case ActionKind::Reboot:
        if (progress.lastRebootGrant == action.grant)
            break;
        progress.lastRebootGrant = action.grant;
        progress.rebooting = true;
        progress.returnsAt = m_now + m_options.rebootTime;
        break;
    case ActionKind::Undrain:
        progress.draining = false;
        for (Instance& instance : m_truth) {
            if (instance.id == action.instance)
                instance.drained = false;
        }
        break;
    }
    return true;
}

void FakeFleet::fail(std::string_view name)
{
    for (const Instance& instance : m_truth) {
        if (matchesName(instance, name))
            m_progress[instance.id].failed = true;
    }
}

void FakeFleet::recover(std::string_view name)
{
    for (const Instance& instance : m_truth) {
        if (matchesName(instance, name))
            m_progress[instance.id].failed = false;
    }
}

void FakeFleet::setFailing(std::string_view id, bool failing)
{
    for (Instance& instance : m_truth) {
        if (instance.id == id)
            instance.failing = failing;
    }
}

void FakeFleet::failAtReboot(std::string_view id)
{
    m_progress[std::string(id)].failsAtReboot = true;
}

void FakeFleet::relabel(std::string_view id, const LabelSet& labels)
{
    for (Instance& instance : m_truth) {
        if (instance.id == id)
            instance.labels = labels;
    }
}

void FakeFleet::remove(std::string_view id)
{
    std::erase_if(m_truth, [&](const Instance& instance) { return instance.id == id; });
}

} // namespace lanemoor::test
