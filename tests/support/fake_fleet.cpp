#include "support/fake_fleet.h"

#include <algorithm>

namespace lanemoor::test {

namespace {

/// A Wednesday at 12:00 UTC, so that maintenance windows can be tested around it.
constexpr Instant startOfTime { std::chrono::seconds(1'764'763'200) };

} // namespace

FakeFleet::FakeFleet(Instances instances, FakeFleetOptions options)
    : m_options(options)
    , m_now(startOfTime)
    , m_truth(std::move(instances))
{
    std::sort(m_truth.begin(), m_truth.end(), [](const Instance& a, const Instance& b) { return a.id < b.id; });
    m_history.push_back(m_truth);
}

bool FakeFleet::named(const Instance& instance, std::string_view name) const
{
    return instance.id == name || instance.rack == name || instance.dataHall == name;
}

void FakeFleet::settle(Instance& instance)
{
    Work& work = m_work[instance.id];
    if (work.draining && m_now >= work.drainedAt)
        instance.drained = true;
    if (work.rebooting && m_now >= work.backAt && !work.lostAtReboot) {
        work.rebooting = false;
        work.draining = false;
        instance.drained = false;
        instance.failing = false;
        ++instance.bootId;
    }
    const bool down = work.lost || work.rebooting;
    instance.state = down ? InstanceState::Leaving : InstanceState::Live;
    if (isHealthy(instance))
        instance.outSince.reset();
    else if (!instance.outSince)
        instance.outSince = m_now;
}

void FakeFleet::advance()
{
    m_now += m_options.step;
    for (Instance& instance : m_truth)
        settle(instance);
    m_history.push_back(m_truth);
    while (m_history.size() > m_options.listLagSteps + 1)
        m_history.pop_front();
}

bool FakeFleet::perform(const Action& action)
{
    Work& work = m_work[action.instance];
    if (m_options.checksEpochs && action.epoch < work.newestEpoch)
        return false;
    work.newestEpoch = std::max(work.newestEpoch, action.epoch);
    switch (action.kind) {
    case ActionKind::Drain:
        if (!work.draining)
            work.drainedAt = m_now + m_options.drainTime;
        work.draining = true;
        break;
    case ActionKind::Reboot:
        if (work.rebootedUnder == action.grant)
            break;
        work.rebootedUnder = action.grant;
        work.rebooting = true;
        work.backAt = m_now + m_options.rebootTime;
        break;
    case ActionKind::Undrain:
        work.draining = false;
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
        if (named(instance, name))
            m_work[instance.id].lost = true;
    }
}

void FakeFleet::recover(std::string_view name)
{
    for (const Instance& instance : m_truth) {
        if (named(instance, name))
            m_work[instance.id].lost = false;
    }
}

void FakeFleet::setFailing(std::string_view id, bool failing)
{
    for (Instance& instance : m_truth) {
        if (instance.id == id)
            instance.failing = failing;
    }
}

void FakeFleet::loseAtReboot(std::string_view id)
{
    m_work[std::string(id)].lostAtReboot = true;
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
