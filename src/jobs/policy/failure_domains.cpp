#include "lanemoor/jobs/policy/failure_domains.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lanemoor::jobs {

std::string_view nameOf(FailureDomainState state) noexcept
{
    switch (state) {
    case FailureDomainState::Serving:
        return "serving";
    case FailureDomainState::Evacuating:
        return "evacuating";
    case FailureDomainState::Lost:
        return "lost";
    }
    return "unknown";
}

const FailureDomain* FailureDomainStatus::find(std::string_view dataHall) const noexcept
{
    const auto found = std::find_if(halls.begin(), halls.end(), [&](const FailureDomain& hall) { return hall.dataHall == dataHall; });
    return found == halls.end() ? nullptr : &*found;
}

bool FailureDomainStatus::serves(std::string_view dataHall) const noexcept
{
    const FailureDomain* hall = find(dataHall);
    return !hall || hall->state == FailureDomainState::Serving;
}

void noteEvacuations(FailureDomainStatus& status, const std::map<std::string, MonotonicInstant>& requests)
{
    for (const auto& [dataHall, since] : requests) {
        const auto place = std::lower_bound(status.halls.begin(), status.halls.end(), dataHall, [](const FailureDomain& hall, const std::string& name) { return hall.dataHall < name; });
        if (place == status.halls.end() || place->dataHall != dataHall)
            status.halls.insert(place, { .dataHall = dataHall, .state = FailureDomainState::Evacuating, .since = since });
        else if (place->state == FailureDomainState::Serving)
            *place = { .dataHall = dataHall, .state = FailureDomainState::Evacuating, .since = since, .workers = place->workers, .unresponsive = place->unresponsive };
    }
}

HallLossDetector::HallLossDetector(FailureDomainOptions options)
    : m_options(options)
{
}

bool HallLossDetector::noteAnswer(const std::string& dataHall, const std::string& worker, MonotonicInstant now)
{
    if (!m_options.enabled)
        return true;
    const auto [place, isNew] = m_workers.try_emplace(worker, Worker { .dataHall = dataHall, .answers = false });
    Worker& known = place->second;
    Hall& hall = m_halls[known.dataHall];
    hall.answeredAt = now;
    if (known.answers)
        return known.admitted;
    known.answers = true;
    ++hall.answering;
    hall.stopped.erase(worker);
    if (!hall.loss)
        return known.admitted = true;
    hall.loss->waiting.push_back(worker);
    return known.admitted = false;
}

void HallLossDetector::noteStop(const std::string& worker, bool hasEnded, MonotonicInstant now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    Hall& hall = m_halls[found->second.dataHall];
    if (std::exchange(found->second.answers, false)) {
        --hall.answering;
        hall.stopped[worker] = { .at = now, .hasEnded = hasEnded };
        hall.hasNewStops = true;
    }
    if (hall.loss) {
        hall.loss->admitted -= std::exchange(found->second.admitted, false) && hall.loss->admitted > 0 ? 1 : 0;
        std::erase(hall.loss->waiting, worker);
    }
    if (!hasEnded)
        return;
    if (const auto stop = hall.stopped.find(worker); stop != hall.stopped.end())
        stop->second.hasEnded = true;
    m_workers.erase(found);
}

void HallLossDetector::removeWorker(const std::string& worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    Hall& hall = m_halls[found->second.dataHall];
    hall.answering -= found->second.answers ? 1 : 0;
    hall.stopped.erase(worker);
    if (hall.loss) {
        hall.loss->admitted -= found->second.admitted && hall.loss->admitted > 0 ? 1 : 0;
        std::erase(hall.loss->waiting, worker);
    }
    m_workers.erase(found);
}

HallFindings HallLossDetector::update(MonotonicInstant now)
{
    HallFindings findings;
    for (auto& [name, hall] : m_halls) {
        if (hall.loss) {
            readmitHall(name, hall, now, findings);
        } else if (std::exchange(hall.hasNewStops, false)) {
            const RecentStops stops = recentStops(hall, now);
            if (isMajority(hall, stops) && anotherHallAnswers(name, stops.first, now))
                declareLost(name, hall, stops, now, findings);
        }
        forgetEnded(hall, now);
    }
    return findings;
}

bool HallLossDetector::admits(const std::string& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() || found->second.admitted;
}

FailureDomainStatus HallLossDetector::status(MonotonicInstant now) const
{
    FailureDomainStatus status { .asOf = now, .halls = {} };
    for (const auto& [name, hall] : m_halls) {
        const auto unresponsive = static_cast<std::uint32_t>(hall.stopped.size());
        FailureDomain& domain = status.halls.emplace_back(FailureDomain { .dataHall = name, .workers = hall.answering + unresponsive, .unresponsive = unresponsive });
        if (!hall.loss)
            continue;
        domain.state = FailureDomainState::Lost;
        domain.since = hall.loss->since;
    }
    return status;
}

/// Drops ended incarnations once they are older than the window.
void HallLossDetector::forgetEnded(Hall& hall, MonotonicInstant now) const
{
    std::erase_if(hall.stopped, [&](const auto& entry) { return entry.second.hasEnded && now - entry.second.at > m_options.lossWindow; });
}

HallLossDetector::RecentStops HallLossDetector::recentStops(const Hall& hall, MonotonicInstant now) const
{
    RecentStops stops;
    for (const auto& [worker, stop] : hall.stopped) {
        if (now - stop.at > m_options.lossWindow)
            continue;
        ++stops.count;
        stops.first = std::min(stops.first, stop.at);
    }
    return stops;
}

/// \returns Whether so many workers stopped that independent failures cannot explain it.
bool HallLossDetector::isMajority(const Hall& hall, const RecentStops& stops) const
{
    const double workers = static_cast<double>(hall.answering) + stops.count;
    return stops.count >= m_options.minStopped && static_cast<double>(stops.count) > m_options.lostShare * workers;
}

/// If no other data hall answers either, this process has lost its own connection to the workers.
bool HallLossDetector::anotherHallAnswers(const std::string& dataHall, MonotonicInstant since, MonotonicInstant now) const
{
    return std::any_of(m_halls.begin(), m_halls.end(), [&](const auto& entry) {
        const auto& [name, hall] = entry;
        return name != dataHall && !hall.loss && hall.answering > 0 && hall.answeredAt >= since && !isMajority(hall, recentStops(hall, now));
    });
}

void HallLossDetector::declareLost(const std::string& dataHall, Hall& hall, const RecentStops& stops, MonotonicInstant now, HallFindings& findings)
{
    // Workers that seem to answer may be gone as well: their missing answers are noticed within the window.
    hall.loss = Loss { .since = now, .workers = hall.answering + stops.count, .waiting = {}, .nextStepAt = now + m_options.lossWindow, .lastAdmittedAt = {} };
    for (auto& [id, worker] : m_workers) {
        if (worker.dataHall != dataHall)
            continue;
        worker.admitted = false;
        if (worker.answers)
            hall.loss->waiting.push_back(id);
    }
    std::sort(hall.loss->waiting.begin(), hall.loss->waiting.end());
    findings.changes.push_back({ .dataHall = dataHall, .isLost = true, .workers = hall.loss->workers, .stopped = stops.count });
}

void HallLossDetector::readmitHall(const std::string& dataHall, Hall& hall, MonotonicInstant now, HallFindings& findings)
{
    Loss& loss = *hall.loss;
    if (now < loss.nextStepAt)
        return;
    admitPart(loss, now, findings);
    if (!hasReturned(loss, now))
        return;
    findings.changes.push_back({ .dataHall = dataHall, .isLost = false, .workers = loss.workers, .lasted = std::chrono::duration_cast<Millis>(now - loss.since) });
    for (auto& [id, worker] : m_workers)
        worker.admitted = worker.admitted || worker.dataHall == dataHall;
    hall.loss.reset();
    hall.hasNewStops = false;
}

void HallLossDetector::admitPart(Loss& loss, MonotonicInstant now, HallFindings& findings)
{
    if (loss.waiting.empty())
        return;
    loss.nextStepAt = now + m_options.returnStep;
    loss.lastAdmittedAt = now;
    auto part = static_cast<std::size_t>(std::ceil(m_options.returnShare * loss.workers));
    for (part = std::min(part, loss.waiting.size()); part > 0; --part) {
        findings.admitted.push_back(std::move(loss.waiting.front()));
        loss.waiting.pop_front();
        m_workers.at(findings.admitted.back()).admitted = true;
        ++loss.admitted;
    }
}

bool HallLossDetector::hasReturned(const Loss& loss, MonotonicInstant now) const
{
    if (!loss.waiting.empty())
        return false;
    if (loss.admitted == 0)
        return now - loss.since >= m_options.maxLossTime;
    return static_cast<double>(loss.admitted) > m_options.lostShare * loss.workers || now - loss.lastAdmittedAt >= m_options.returnSettleTime;
}

} // namespace lanemoor::jobs
