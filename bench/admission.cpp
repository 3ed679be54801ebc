/// \file
/// Benchmark of admission at the planned size: the queue of one pool with 180 teams on a
/// simulated clock, with bursts of cancellations and run times that vary around their mean.
/// Figures don't depend on the machine. Exits non-zero if a bound is missed.

#include "lanemoor/decisions/admission.h"
#include "report.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace lanemoor;
using namespace lanemoor::bench;

namespace {

constexpr std::uint32_t teams = 180;
constexpr std::uint32_t slots = 64;
constexpr Millis tick { 10 };
constexpr int ticks = 60'000; ///< Ten minutes.
constexpr Millis checkTime { 40 };
constexpr Millis batchTime { 4'000 };
constexpr Millis urgentLimit { 3'100 };

/// A running request and its end time.
struct Running {
    std::uint64_t id = 0;
    Instant endsAt;
};

/// Result of one load.
struct LoadResult {
    std::uint64_t urgentStarted = 0;
    std::uint64_t urgentRefused = 0;
    std::uint64_t batchOffered = 0;
    std::uint64_t batchStarted = 0;
    std::uint64_t expired = 0;
    Millis maxUrgentWait { 0 };
    Millis maxBatchWait { 0 };
    double busyShare = 0; ///< Mean share of slots in use.
    std::map<std::string, std::uint64_t> startsByTeam;
};

/// Simulates arrivals at `load` times the capacity of the slots.
class LoadRun {
public:
    LoadRun(double load, double batchShare, std::uint64_t seed)
        : m_random(seed)
        , m_batchShare(batchShare)
    {
        const double meanTime = checkTime.count() * (1 - batchShare) + batchTime.count() * batchShare;
        m_arrivalsPerTick = load * slots * static_cast<double>(tick.count()) / meanTime;
        for (std::uint32_t team = 0; team < teams; ++team)
            m_queue.setQuota("team" + std::to_string(team), 4);
    }

    LoadResult run()
    {
        double pendingArrivals = 0;
        double busy = 0;
        for (int i = 0; i < ticks; ++i) {
            m_now += tick;
            finishEnded();
            for (pendingArrivals += m_arrivalsPerTick; pendingArrivals >= 1; pendingArrivals -= 1)
                offer();
            if (i % 1000 == 999)
                cancelBurst();
            for (const ExpiredTicket& expired : m_queue.expire(m_now))
                m_result.expired += m_offered.erase(expired.id);
            startAll();
            busy += static_cast<double>(m_running.size()) / slots;
        }
        m_result.busyShare = busy / ticks;
        return std::move(m_result);
    }

private:
    void finishEnded()
    {
        std::erase_if(m_running, [&](const Running& running) {
            if (running.endsAt > m_now)
                return false;
            m_queue.finish(running.id, m_now);
            return true;
        });
    }

    void offer()
    {
        const bool batch = std::uniform_real_distribution<>(0, 1)(m_random) < m_batchShare;
        // A tenth of the teams sends half of the requests, beside its share of the rest.
        const std::uint64_t team = m_random() % 2 == 0 ? m_random() % (teams / 10) : m_random() % teams;
        const Ticket ticket { .id = ++m_lastId, .requestClass = batch ? RequestClass::Batch : RequestClass::Check, .team = "team" + std::to_string(team), .deadline = m_now + (batch ? Millis(std::chrono::minutes(5)) : urgentLimit) };
        m_result.batchOffered += batch ? 1 : 0;
        if (m_queue.offer(ticket, m_now))
            m_result.urgentRefused += batch ? 0 : 1;
        else
            m_offered.emplace(ticket.id, std::pair(ticket, m_now));
    }

    void cancelBurst()
    {
        std::vector<std::uint64_t> all;
        for (const auto& [id, offered] : m_offered)
            all.push_back(id);
        for (std::size_t i = 0; i < all.size(); i += 2) {
            m_queue.cancel(all[i]);
            m_offered.erase(all[i]);
        }
    }

    void startAll()
    {
        while (const std::optional<std::uint64_t> id = m_queue.start(m_now)) {
            const auto [ticket, offeredAt] = m_offered.at(*id);
            m_offered.erase(*id);
            const bool batch = ticket.requestClass == RequestClass::Batch;
            Millis& maxWait = batch ? m_result.maxBatchWait : m_result.maxUrgentWait;
            maxWait = std::max(maxWait, m_now - offeredAt);
            ++(batch ? m_result.batchStarted : m_result.urgentStarted);
            ++m_result.startsByTeam[ticket.team];
            const std::int64_t mean = (batch ? batchTime : checkTime).count();
            m_running.push_back({ .id = *id, .endsAt = m_now + Millis(mean / 2 + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(mean))) });
        }
    }

    AdmissionQueue m_queue { { .slots = slots, .maxWaiting = 1024 } };
    std::mt19937_64 m_random;
    double m_batchShare;
    double m_arrivalsPerTick = 0;
    Instant m_now { std::chrono::seconds(1'764'763'200) };
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, std::pair<Ticket, Instant>> m_offered;
    std::vector<Running> m_running;
    LoadResult m_result;
};

} // namespace

int main()
{
    Report report("Admission: 180 teams, 64 slots, checks of 40 ms and batch of 4 s, ten minutes");
    for (const double load : { 0.7, 1.0, 2.0 }) {
        const LoadResult result = LoadRun(load, 0.02, 20261202).run();
        const std::string name = "load " + std::to_string(load).substr(0, 3) + ": ";
        report.unbounded(name + "slots in use, share", result.busyShare);
        report.unbounded(name + "urgent requests started", static_cast<double>(result.urgentStarted));
        report.unbounded(name + "urgent requests refused at once", static_cast<double>(result.urgentRefused));
        report.unbounded(name + "given up while waiting", static_cast<double>(result.expired));
        report.bounded(name + "longest wait of an urgent request that started, s", std::chrono::duration<double>(result.maxUrgentWait).count(), 3.1);
        report.unbounded(name + "longest wait of a batch request, s", std::chrono::duration<double>(result.maxBatchWait).count());
        report.bounded(name + "batch requests not started, share", 1 - static_cast<double>(result.batchStarted) / static_cast<double>(std::max<std::uint64_t>(1, result.batchOffered)), load > 1 ? 0.9 : 0.6);
    }
    return report.missed() == 0 ? 0 : 1;
}
