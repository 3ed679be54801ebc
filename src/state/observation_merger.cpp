#include "lanemoor/state/observation_merger.h"

#include <algorithm>

namespace lanemoor {

namespace {

/// A report of a source expires unless it is renewed within this time.
constexpr Millis reportLifetime = std::chrono::seconds(5);
/// An instance missing from the list for this long is gone.
constexpr Millis goneAfter = std::chrono::seconds(60);

} // namespace

void ObservationMerger::onList(Instances listed)
{
    std::sort(listed.begin(), listed.end(), [](const Instance& a, const Instance& b) { return a.id < b.id; });
    for (const Instance& instance : listed)
        m_lastSeen[instance.id] = instance;
    m_listed = std::move(listed);
    m_hasList = true;
}

void ObservationMerger::onReport(const std::string& source, std::set<std::string> failing, std::set<std::string> leaving, Instant now)
{
    m_reports[source] = { .failing = std::move(failing), .leaving = std::move(leaving), .expiresAt = now + reportLifetime };
}

std::set<std::string> ObservationMerger::listedLeaving() const
{
    std::set<std::string> leaving;
    for (const Instance& instance : m_listed) {
        if (instance.state == InstanceState::Leaving)
            leaving.insert(instance.id);
    }
    return leaving;
}

void ObservationMerger::applyReports(Instance& instance, Instant now) const
{
    for (const auto& [source, report] : m_reports) {
        if (now >= report.expiresAt)
            continue;
        instance.failing = instance.failing || report.failing.contains(instance.id);
        if (report.leaving.contains(instance.id) && instance.state == InstanceState::Live)
            instance.state = InstanceState::Leaving;
    }
}

void ObservationMerger::addMissing(const Ledger& ledger, Instant now, Instances& merged)
{
    Instances missing;
    for (const LedgerEntry& entry : ledger.entries) {
        if (findInstance(m_listed, entry.instance)) {
            m_missingSince.erase(entry.instance);
            continue;
        }
        const Instant since = m_missingSince.emplace(entry.instance, now).first->second;
        Instance instance;
        const auto seen = m_lastSeen.find(entry.instance);
        if (seen != m_lastSeen.end())
            instance = seen->second;
        instance.id = entry.instance;
        instance.state = now >= since + goneAfter ? InstanceState::Gone : InstanceState::Leaving;
        missing.push_back(std::move(instance));
    }
    merged.insert(merged.end(), missing.begin(), missing.end());
}

void ObservationMerger::updateUnhealthySince(Instance& instance, Instant now)
{
    if (isHealthy(instance)) {
        m_unhealthySince.erase(instance.id);
        return;
    }
    instance.unhealthySince = m_unhealthySince.emplace(instance.id, now).first->second;
}

Instances ObservationMerger::merge(const Ledger& ledger, Instant now)
{
    if (!m_hasList)
        return {};
    Instances merged = m_listed;
    addMissing(ledger, now, merged);
    std::sort(merged.begin(), merged.end(), [](const Instance& a, const Instance& b) { return a.id < b.id; });
    for (Instance& instance : merged) {
        applyReports(instance, now);
        updateUnhealthySince(instance, now);
    }
    return merged;
}

} // namespace lanemoor
